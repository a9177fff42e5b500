/*
Life of a process, from its first instruction to its exit: what each signal and each failure means in each state. Node.js ends a process
at once on a signal that has no handler, so a program creates its lifecycle before it loads its other modules; this module therefore
imports little.
*/
import process from 'node:process';
import {writeDiagnostic} from './diagnostics.ts';

export enum ProcessState {
	/** The modules of the program are being loaded. */
	Loading = 'loading',
	/** Settings are read and addresses are bound; no caller is connected yet. */
	Starting = 'starting',
	Serving = 'serving',
	/** A planned stop is in progress. */
	Draining = 'draining',
	Ended = 'ended',
}

export enum ProcessEvent {
	/** The settings may have changed. */
	Reload = 'reload',
	Stop = 'stop',
	Loaded = 'loaded',
	Started = 'started',
	StartFailed = 'start-failed',
	/** The planned stop is complete and all connections are closed. */
	Stopped = 'stopped',
	/** The planned stop can't be completed: its time is over, or exceptions go on. */
	StopFailed = 'stop-failed',
	/** An exception that no part of the program has handled. */
	Exception = 'exception',
}

export enum ExitCode {
	Stopped = 0,
	/** The start failed, the planned stop timed out, or the stop follows an exception. */
	Failed = 1,
	InvalidSettings = 2,
}

enum ProcessAction {
	None = 'none',
	DeferReload = 'defer-reload',
	RunDeferredReload = 'run-deferred-reload',
	Reload = 'reload',
	Drain = 'drain',
	Fail = 'fail',
	FailAgain = 'fail-again',
	Exit = 'exit',
}

type Transition = {action: ProcessAction; next?: ProcessState; exitCode?: ExitCode};

const none: Transition = {action: ProcessAction.None};
const exit: Transition = {action: ProcessAction.Exit, next: ProcessState.Ended};
const fail: Transition = {...exit, exitCode: ExitCode.Failed};

const ignoreAll: Record<ProcessEvent, Transition> = {
	[ProcessEvent.Reload]: none,
	[ProcessEvent.Stop]: none,
	[ProcessEvent.Loaded]: none,
	[ProcessEvent.Started]: none,
	[ProcessEvent.StartFailed]: none,
	[ProcessEvent.Stopped]: none,
	[ProcessEvent.StopFailed]: none,
	[ProcessEvent.Exception]: none,
};

/** What happens at each event in each state. */
const transitions: Record<ProcessState, Record<ProcessEvent, Transition>> = {
	[ProcessState.Loading]: {
		...ignoreAll,
		[ProcessEvent.Reload]: {action: ProcessAction.DeferReload},
		[ProcessEvent.Stop]: exit,
		[ProcessEvent.Loaded]: {action: ProcessAction.None, next: ProcessState.Starting},
		[ProcessEvent.StartFailed]: fail,
		[ProcessEvent.Exception]: fail,
	},
	[ProcessState.Starting]: {
		...ignoreAll,
		[ProcessEvent.Reload]: {action: ProcessAction.DeferReload},
		[ProcessEvent.Stop]: exit,
		[ProcessEvent.Started]: {action: ProcessAction.RunDeferredReload, next: ProcessState.Serving},
		[ProcessEvent.StartFailed]: fail,
		[ProcessEvent.Exception]: fail,
	},
	[ProcessState.Serving]: {
		...ignoreAll,
		[ProcessEvent.Reload]: {action: ProcessAction.Reload},
		[ProcessEvent.Stop]: {action: ProcessAction.Drain, next: ProcessState.Draining},
		// What the exception left behind is unknown, so the process makes room for a new one, but lets running calls finish.
		[ProcessEvent.Exception]: {action: ProcessAction.Fail, next: ProcessState.Draining, exitCode: ExitCode.Failed},
	},
	[ProcessState.Draining]: {
		...ignoreAll,
		[ProcessEvent.Stopped]: exit,
		[ProcessEvent.StopFailed]: fail,
		[ProcessEvent.Exception]: {action: ProcessAction.FailAgain, exitCode: ExitCode.Failed},
	},
	[ProcessState.Ended]: ignoreAll,
};

/** One event, for the log. */
export type ProcessEventRecord = {
	event: ProcessEvent;
	/** State in which the event occurred. */
	state: ProcessState;
	/** Time since the process began, in milliseconds. */
	atMs: number;
	/** Signal, error or other cause. */
	cause: string;
};

export type ProcessHandlers = {
	reload(): void;
	/** Starts the planned stop; the program reports `Stopped` once it is complete. */
	drain(): void;
	/** Starts the planned stop because of an exception. */
	fail(cause: string): void;
	record(record: ProcessEventRecord): void;
};

export type ProcessLifecycle = {
	readonly state: ProcessState;
	/** Whether an exception or a failed start will decide the exit code. */
	readonly hasFailed: boolean;
	/** Sets the handlers, and passes them the events recorded so far. */
	setHandlers(handlers: ProcessHandlers): void;
	/** Handles an event; the exit code counts if it ends the process. */
	handle(event: ProcessEvent, cause?: string, exitCode?: ExitCode): void;
};

export type ProcessLifecycleOptions = {
	/** Ends the process. */
	exit?: (code: ExitCode) => void;
	/** Source of the signals and exceptions. */
	source?: Pick<NodeJS.Process, 'on'>;
};

/** Events that the signals stand for. */
const signalEvents = {SIGHUP: ProcessEvent.Reload, SIGTERM: ProcessEvent.Stop, SIGINT: ProcessEvent.Stop} as const;

/** Exceptions during a stop after which it can't be expected to complete. */
const maxStopExceptions = 5;

const processLifecycleDefaults = {
	exit(code: ExitCode) {
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	},
	source: process,
} satisfies ProcessLifecycleOptions;

export function createProcessLifecycle(options: ProcessLifecycleOptions = {}): ProcessLifecycle {
	const {exit: endProcess, source} = {...processLifecycleDefaults, ...options};
	let state = ProcessState.Loading;
	let exitCode = ExitCode.Stopped;
	let isReloadDue = false;
	let stopExceptions = 0;
	let handlers: ProcessHandlers | undefined;
	const recorded: ProcessEventRecord[] = [];

	const actions: Record<ProcessAction, (cause: string) => void> = {
		[ProcessAction.None]() {
			// The state alone changes.
		},
		[ProcessAction.DeferReload]() {
			isReloadDue = true;
		},
		[ProcessAction.RunDeferredReload]() {
			if (isReloadDue) {
				isReloadDue = false;
				handlers?.reload();
			}
		},
		[ProcessAction.Reload]() {
			handlers?.reload();
		},
		[ProcessAction.Drain]() {
			handlers?.drain();
		},
		[ProcessAction.Fail](cause) {
			handlers?.fail(cause);
		},
		[ProcessAction.FailAgain]() {
			stopExceptions += 1;
			if (stopExceptions >= maxStopExceptions) {
				handle(ProcessEvent.StopFailed, `${stopExceptions} exceptions during the stop`);
			}
		},
		[ProcessAction.Exit]() {
			// Without handlers, no log has these events.
			for (const {event, state: stateThen, cause} of exitCode === ExitCode.Stopped ? [] : recorded) {
				writeDiagnostic(`${event} while ${stateThen}: ${cause}`);
			}

			endProcess(exitCode);
		},
	};

	function handle(event: ProcessEvent, cause = '', code?: ExitCode) {
		const transition = transitions[state][event];
		const record: ProcessEventRecord = {
			event, state, atMs: Math.round(process.uptime() * 1000), cause,
		};
		if (handlers) {
			handlers.record(record);
		} else {
			recorded.push(record);
		}

		if (transition.exitCode !== undefined) {
			exitCode = Math.max(exitCode, code ?? transition.exitCode);
		}

		state = transition.next ?? state;
		actions[transition.action](cause);
	}

	for (const [signal, event] of Object.entries(signalEvents)) {
		source.on(signal, () => {
			handle(event, signal);
		});
	}

	source.on('uncaughtException', (error: Error) => {
		handle(ProcessEvent.Exception, error.stack ?? error.message);
	});

	return {
		get state() {
			return state;
		},
		get hasFailed() {
			return exitCode !== ExitCode.Stopped;
		},
		setHandlers(next) {
			handlers = next;
			for (const record of recorded.splice(0)) {
				next.record(record);
			}
		},
		handle,
	};
}
