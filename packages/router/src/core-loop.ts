/*
Runs the core: collects the inbox, takes a step on each tick and at once when something arrives, and hands each item of
the outbox to the edge that carries it out.
*/
import type {Outbound} from '@shallotloom/core/ports.ts';
import type {Timer} from './timer.ts';

type Tagged = {kind: string};

/** Edge functions by kind of outbox item. */
export type HandlersByKind<Item extends Tagged> = {[Kind in Item['kind']]: (item: Extract<Item, {kind: Kind}>) => void};

/** Edges of the permits' core. */
export type OutboxHandlers = HandlersByKind<Outbound>;

export type CoreLoop<Inbound> = {
	/** Adds to the inbox; a step follows within the same turn of the event loop. */
	push(inbound: Inbound): void;
	/** Adds to the inbox without a step of its own, for what can wait until the next. */
	enqueue(inbound: Inbound): void;
	/** Takes the first step; until then the inbox only fills. */
	start(): void;
	stop(): void;
};

export type CoreLoopOptions<Inbound, Item extends Tagged> = {
	/** Takes one step at a time and returns what the edges are to do. */
	step: (now: number, inbox: Inbound[]) => Item[];
	timer: Timer;
	tickMs: number;
	handlers: HandlersByKind<Item>;
	/** Called after each step with its duration in milliseconds. */
	onStep: (ms: number) => void;
};

/** Creates the loop. */
export function createCoreLoop<Inbound, Item extends Tagged>({
	step, timer, tickMs, handlers, onStep,
}: CoreLoopOptions<Inbound, Item>): CoreLoop<Inbound> {
	let inbox: Inbound[] = [];
	let isScheduled = false;
	let unsubscribe: (() => void) | undefined;

	function runStep() {
		isScheduled = false;
		const received = inbox;
		inbox = [];
		const startedAt = timer.now();
		const outbox = step(startedAt, received);
		onStep(timer.now() - startedAt);
		for (const item of outbox) {
			const handler = handlers[item.kind as Item['kind']] as (item: Item) => void;
			handler(item);
		}
	}

	function schedule() {
		if (!isScheduled && unsubscribe) {
			isScheduled = true;
			setImmediate(runStep);
		}
	}

	function push(inbound: Inbound) {
		inbox.push(inbound);
		schedule();
	}

	return {
		push,
		enqueue(inbound) {
			inbox.push(inbound);
		},
		start() {
			unsubscribe = timer.subscribe(tickMs, runStep);
			schedule();
		},
		stop() {
			unsubscribe?.();
			unsubscribe = undefined;
		},
	};
}
