/*
Log lines about the life of a process: its events, and the addresses that it waits for.
*/
import process from 'node:process';
import type {BindOptions} from './listener.ts';
import {AdapterPart, type Log, type LogLevel} from './log.ts';
import {ProcessEvent, type ProcessEventRecord} from './process-lifecycle.ts';

/** Levels of the events that are no part of an ordinary life; the others are informational. */
const eventLevels: Partial<Record<ProcessEvent, LogLevel>> = {
	[ProcessEvent.StartFailed]: 'error',
	[ProcessEvent.StopFailed]: 'error',
	[ProcessEvent.Exception]: 'error',
};

/** Logs an event with the state in which it occurred. */
export function logProcessEvent(log: Log, {event, state, atMs, cause}: ProcessEventRecord) {
	log.write({
		part: AdapterPart.Process, level: eventLevels[event] ?? 'info', text: `${event} while ${state}${cause === '' ? '' : `: ${cause}`}`, fields: {event, state, atMs},
	});
}

/** Options to wait for addresses that another process holds, `maxWaitMs` for all of them, with a line when a wait begins and when it ends. */
export function createLoggedBind(log: Log, maxWaitMs: number): BindOptions {
	return {
		endsAt: performance.now() + maxWaitMs,
		onWait({host, port}, code) {
			log.write({
				part: AdapterPart.Process, level: 'warn', text: `waiting for address ${host}:${port}`, fields: {code},
			});
		},
		onBound({host, port}, waitedMs) {
			log.write({
				part: AdapterPart.Process, level: 'info', text: `address ${host}:${port} bound`, fields: {waitedMs},
			});
		},
	};
}

/** Logs rejections that nothing handles: what they were about has a time limit of its own, so the process goes on. */
export function logRejections(log: Log) {
	process.on('unhandledRejection', error => {
		log.write({part: AdapterPart.Process, level: 'error', text: `unhandled rejection: ${error instanceof Error ? error.stack : String(error)}`});
	});
}
