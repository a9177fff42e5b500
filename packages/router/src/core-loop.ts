/*
Runs the core: collects the inbox, takes a step on each tick and at once when something arrives, and hands each item of
the outbox to the edge that carries it out.
*/
import type {Inbound, Outbound, OutboundOf} from '@shallotloom/core/ports.ts';
import {step} from '@shallotloom/core/step.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {Timer} from './timer.ts';

/** Edge functions by kind of outbox item. */
export type Edges = {[Kind in Outbound['kind']]: (item: OutboundOf<Kind>) => void};

export type CoreLoop = {
	/** Adds to the inbox; a step follows within the same turn of the event loop. */
	push(inbound: Inbound): void;
	/** Adds to the inbox without a step of its own, for what can wait until the next. */
	note(inbound: Inbound): void;
	/** Takes the first step; until then the inbox only fills. */
	start(): void;
	stop(): void;
};

export type CoreLoopOptions = {
	world: World;
	timer: Timer;
	tickMs: number;
	edges: Edges;
	/** Called after each step with its duration in milliseconds. */
	onStep: (ms: number) => void;
};

/** Creates the loop. */
export function createCoreLoop({world, timer, tickMs, edges, onStep}: CoreLoopOptions): CoreLoop {
	let inbox: Inbound[] = [];
	let isScheduled = false;
	let unsubscribe: (() => void) | undefined;

	function run() {
		isScheduled = false;
		const taken = inbox;
		inbox = [];
		const before = timer.now();
		const outbox = step(world, before, taken);
		onStep(timer.now() - before);
		for (const item of outbox) {
			const edge = edges[item.kind] as (item: Outbound) => void;
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
