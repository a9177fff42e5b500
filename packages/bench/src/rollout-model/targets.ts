/*
Targets that stream answers, and whose software has versions. A target doesn't check which version began a stream that it resumes. A
crash, or a restart under the same id, breaks all its answers.
*/
import {TargetStanding, type ListedTarget} from '@shallotloom/core/gateway/rows.ts';
import type {EventQueue} from '../fleet-model/event-queue.ts';
import type {Random} from '../load/random.ts';

export const pool = 'engines';

/** Answer that a target streams from the event after `firstEvent` on. */
export type Answer = {
	events: number;
	firstEvent: number;
	onEvent: (event: number, softwareVersion: string) => void;
	onEnd: () => void;
	onBroken: () => void;
};

export type VersionedTargets = {
	/** Entries of the running targets as the platform lists them. */
	readonly listed: Map<string, ListedTarget>;
	/** Number of running targets of a version that take new work. */
	countReady(softwareVersion: string): number;
	isRunning(id: string): boolean;
	/** Starts a target; returns its id. */
	start(softwareVersion: string, id?: string): string;
	/** Marks a target as leaving; it ends when its answers are complete, `drainMs` later at the earliest. */
	drain(id: string): void;
	/** Ends a target's process with its answers; its entry lapses, or remains until the target starts again. */
	crash(id: string, isEntryKept?: boolean): void;
	/** Sends a request to a target; returns how to cancel it, or undefined when no such target runs. */
	send(id: string, answer: Answer): (() => void) | undefined;
};

export type VersionedTargetsOptions = {
	queue: EventQueue;
	random: Random;
	failureDomains: number;
	/** Called after each change of `listed`. */
	onChange: () => void;
};

/** Time for which a leaving target goes on at least, and for which it is cold after a start, in milliseconds. */
const drainMs = 2000;
const coldMs = 3000;

/** Range of the time to the first event, and the time between two events, in milliseconds. */
const minFirstEventMs = 40;
const maxFirstEventMs = 400;
const eventMs = 45;

const slots = 64;

/** Creates an empty set of targets. */
export function createVersionedTargets({queue, random, failureDomains, onChange}: VersionedTargetsOptions): VersionedTargets {
	const listed = new Map<string, ListedTarget>();
	const answers = new Map<string, Set<Answer>>();
	let startCount = 0;

	function stop(id: string, startId: string) {
		if (listed.get(id)?.startId !== startId) {
			return;
		}

		if ((answers.get(id)?.size ?? 0) > 0) {
			queue.schedule(drainMs, () => {
				stop(id, startId);
			});
			return;
		}

		listed.delete(id);
		onChange();
	}

	function streamNext(running: Set<Answer>, answer: Answer, event: number, softwareVersion: string) {
		if (!running.has(answer)) {
			return;
		}

		if (event > answer.events) {
			running.delete(answer);
			answer.onEnd();
			return;
		}

		answer.onEvent(event, softwareVersion);
		queue.schedule(eventMs, () => {
			streamNext(running, answer, event + 1, softwareVersion);
		});
	}

	function breakAnswers(id: string) {
		const running = [...answers.get(id) ?? []];
		answers.get(id)?.clear();
		for (const {onBroken} of running) {
			onBroken();
		}
	}

	return {
		listed,
		countReady: softwareVersion => [...listed.values()].filter(target => target.softwareVersion === softwareVersion && target.standing === TargetStanding.Ready && answers.has(target.id)).length,
		isRunning: id => answers.has(id),
		start(softwareVersion, id = `t${startCount}`) {
			startCount += 1;
			answers.set(id, new Set());
			listed.set(id, {
				id,
				pool,
				address: id,
				softwareVersion,
				failureDomain: `d${startCount % failureDomains}`,
				standing: TargetStanding.Ready,
				slots,
				coldForMs: queue.now > 0 ? coldMs : 0,
				startId: String(startCount),
				revision: startCount,
				isRestored: false,
			});
			onChange();
			return id;
		},
		drain(id) {
			const target = listed.get(id);
			if (target) {
				startCount += 1;
				listed.set(id, {...target, standing: TargetStanding.Leaving, revision: startCount});
				onChange();
				queue.schedule(drainMs, () => {
					stop(id, target.startId);
				});
			}
		},
		crash(id, isEntryKept = false) {
			breakAnswers(id);
			answers.delete(id);
			if (!isEntryKept) {
				listed.delete(id);
				onChange();
			}
		},
		send(id, answer) {
			const running = answers.get(id);
			const target = listed.get(id);
			if (!running || !target) {
				return undefined;
			}

			running.add(answer);
			queue.schedule(minFirstEventMs + (random.uniform() * (maxFirstEventMs - minFirstEventMs)), () => {
				streamNext(running, answer, answer.firstEvent + 1, target.softwareVersion);
			});
			return () => {
				running.delete(answer);
			};
		},
	};
}
