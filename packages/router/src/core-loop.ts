/*
Runs the core: collects events in the inbox, runs a step on each tick and soon after an event arrives, and passes each item
of the outbox to the handler of its kind.
*/
import type {Outbound} from '@shallotloom/core/ports.ts';
import type {Timer} from './timer.ts';

type Tagged = {kind: string};

/** Handler functions by kind of outbox item. */
export type HandlersByKind<Item extends Tagged> = {[Kind in Item['kind']]: (item: Extract<Item, {kind: Kind}>) => void};

/** Handlers of the core that grants permits (the gateway's core has its own outbox). */
export type OutboxHandlers = HandlersByKind<Outbound>;

export type CoreLoop<Inbound> = {
	/** Adds an event to the inbox and schedules a step in the current turn of the event loop. */
	push(inbound: Inbound): void;
	/** Adds an event to the inbox without scheduling a step; the next step processes it. */
	enqueue(inbound: Inbound): void;
	/** Schedules the first step and starts the ticks; until then events only collect in the inbox. */
	start(): void;
	stop(): void;
};

export type CoreLoopOptions<Inbound, Item extends Tagged> = {
	/** Runs one step of the core and returns the outbox. */
	step: (now: number, inbox: Inbound[]) => Item[];
	timer: Timer;
	tickMs: number;
	handlers: HandlersByKind<Item>;
	/** Called after each step with its duration. */
	onStep: (ms: number) => void;
	/** Called when the handler of an item throws; the other items are handled all the same. */
	onHandlerError: (item: Item, error: unknown) => void;
};

export function createCoreLoop<Inbound, Item extends Tagged>({
	step, timer, tickMs, handlers, onStep, onHandlerError,
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
			try {
				handler(item);
			} catch (error) {
				onHandlerError(item, error);
			}
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
