/*
Runs the core: collects the inbox, takes a step on each tick and at once when something arrives, and hands each item of
the outbox to the edge that carries it out.
*/
import type {Outbound} from '@shallotloom/core/ports.ts';
import type {Timer} from './timer.ts';

type Tagged = {kind: string};

/** Edge functions by kind of outbox item. */
export type EdgesOf<Item extends Tagged> = {[Kind in Item['kind']]: (item: Extract<Item, {kind: Kind}>) => void};

/** Edges of the permits' core. */
export type Edges = EdgesOf<Outbound>;

export type CoreLoop<Inbound> = {
	/** Adds to the inbox; a step follows within the same turn of the event loop. */
	push(inbound: Inbound): void;
	/** Adds to the inbox without a step of its own, for what can wait until the next. */
	note(inbound: Inbound): void;
	/** Takes the first step; until then the inbox only fills. */
	start(): void;
	stop(): void;
};

export type CoreLoopOptions<Inbound, Item extends Tagged> = {
	/** Takes one step at a time and returns what the edges are to do. */
	step: (now: number, inbox: Inbound[]) => Item[];
	timer: Timer;
	tickMs: number;
	edges: EdgesOf<Item>;
	/** Called after each step with its duration in milliseconds. */
	onStep: (ms: number) => void;
};

/** Creates the loop. */
export function createCoreLoop<Inbound, Item extends Tagged>({
	step, timer, tickMs, edges, onStep,
}: CoreLoopOptions<Inbound, Item>): CoreLoop<Inbound> {
	let inbox: Inbound[] = [];
	let isScheduled = false;
	let unsubscribe: (() => void) | undefined;

	function run() {
		isScheduled = false;
		const taken = inbox;
		inbox = [];
		const before = timer.now();
		const outbox = step(before, taken);
		onStep(timer.now() - before);
		for (const item of outbox) {
			const edge = edges[item.kind as Item['kind']] as (item: Item) => void;
			edge(item);
		}
	}

	function schedule() {
		if (!isScheduled && unsubscribe) {
			isScheduled = true;
			setImmediate(run);
		}
	}

	function push(inbound: Inbound) {
		inbox.push(inbound);
		schedule();
	}

	return {
		push,
		note(inbound) {
			inbox.push(inbound);
		},
		start() {
			unsubscribe = timer.subscribe(tickMs, run);
			schedule();
		},
		stop() {
			unsubscribe?.();
			unsubscribe = undefined;
		},
	};
}
