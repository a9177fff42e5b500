/*
Evidence of what crashes targets: prompt segments, and requests that come again. A crash breaks all answers in work at its target, at
every instance, so it has many suspects: those of the calls whose answers hadn't begun, or had begun only just. Answers that go on or
end well show that their suspects are sound. Which of them it was shows only over several crashes, so instances report theirs in digests.

A broken answer alone proves no crash. The process counts as ended when several of its answers break together, when connections to
it fail, or when the platform lists it no longer; an answer that it begins later, at any instance, disproves the crash.
*/
import type {CrashEntry, SoundSuspectEntry} from '../messages.ts';
import {startPeriodIfDue} from '../world.ts';
import type {Gateway} from './gateway.ts';
import type {
	Call, Crash, Instance, PoolTarget,
} from './rows.ts';
import {getSuspects, SuspectKind} from './suspects.ts';

/** Maximum numbers of entries that are kept, and that a digest carries. */
const maxCrashes = 256;
const maxSoundSuspects = 20_000;
const maxReportedCrashes = 8;
const maxReportedSuspects = 32;
const maxReportedSoundSuspects = 64;

/** Time for which a crash is reported: several digests, of which some may be lost. In milliseconds. */
const reportedCrashMs = 5000;

/** Difference between the times of a crash at two instances, from the delay of digests; in milliseconds. */
const reportToleranceMs = 300;

/** Period at which long answers are looked at, in milliseconds. */
const soundAnswersMs = 500;

/** Number of answers that have to break together to show that the process has ended. */
const minBrokenTogether = 2;

type TargetProcess = Pick<PoolTarget, 'id' | 'startId'>;

function createKey({id, startId}: TargetProcess): string {
	return `${id}/${startId}`;
}

function addCrash({crashes, now}: Gateway, {id, startId}: TargetProcess, at = now): Crash {
	const crash: Crash = {
		target: id, startId, at, brokenCalls: new Map(), isConfirmed: false, isDisproved: false, ownSuspects: new Set(), suspects: new Set(),
	};
	const key = createKey({id, startId});
	crashes.delete(key);
	crashes.set(key, crash);
	if (crashes.size > maxCrashes) {
		crashes.delete(crashes.keys().next().value!);
	}

	return crash;
}

function countBrokenCalls({brokenCalls}: Crash): number {
	return [...brokenCalls.values()].reduce((sum, count) => sum + count, 0);
}

/** Finds the crash to which an answer that breaks now belongs; one that wasn't confirmed in time was none. */
function getOrCreateCrash(gateway: Gateway, target: TargetProcess): Crash {
	const known = gateway.crashes.get(createKey(target));
	const isCurrent = known && (known.isConfirmed || gateway.now - known.at <= gateway.limits.crashWindowMs);
	return isCurrent ? known : addCrash(gateway, target);
}

/** Records that the answer of a target to a call broke. */
export function recordBrokenAnswer(gateway: Gateway, call: Call, target: PoolTarget) {
	const {firstByteAt} = call;
	const crash = getOrCreateCrash(gateway, target);
	crash.brokenCalls.set(gateway.self.id, (crash.brokenCalls.get(gateway.self.id) ?? 0) + 1);
	crash.isConfirmed ||= countBrokenCalls(crash) >= minBrokenTogether;
	if (firstByteAt !== undefined && gateway.now - firstByteAt > gateway.limits.crashDelayMs) {
		recordSoundCall(gateway, call);
		return;
	}

	for (const id of getSuspects(call)) {
		crash.ownSuspects.add(id);
		crash.suspects.add(id);
	}
}

/** Confirms that a process whose answers broke recently has ended. */
export function confirmCrash({crashes, now, limits}: Gateway, target: TargetProcess) {
	const crash = crashes.get(createKey(target));
	if (crash && now - crash.at <= limits.crashConfirmationMs) {
		crash.isConfirmed = true;
	}
}

/**
Whether a target's process has ended so recently that another one, with another software version, may have taken its place under its id
before the platform lists that start. An answer that it begins meanwhile doesn't show which of the two it is.
*/
export function mayHaveRestarted({crashes, now, limits}: Gateway, target: Pick<PoolTarget, 'id' | 'startId' | 'connectionFailedAt'>): boolean {
	const crash = crashes.get(createKey(target));
	const endedAt = Math.max(target.connectionFailedAt, crash?.isConfirmed ? crash.at : Number.NEGATIVE_INFINITY);
	return now - endedAt <= limits.restartListingMs;
}

/** Whether an answer of a target's process broke so recently that no further evidence can have arrived yet whether that has ended. */
export function mayHaveCrashed({crashes, now, limits}: Gateway, target: TargetProcess): boolean {
	const crash = crashes.get(createKey(target));
	return crash !== undefined && now - crash.at <= limits.crashEvidenceMs;
}

/** Records that a process began an answer, so that it hadn't ended before. */
export function disproveCrash({crashes, now, limits}: Gateway, target: TargetProcess) {
	const crash = crashes.get(createKey(target));
	if (crash && now - crash.at > limits.crashWindowMs) {
		crash.isDisproved = true;
	}
}

/** Records that a target answered a call and came to no harm. */
export function recordSoundCall({soundSuspects, now}: Gateway, call: Call) {
	for (const id of getSuspects(call)) {
		soundSuspects.delete(id);
		soundSuspects.set(id, now);
	}

	for (const id of soundSuspects.keys()) {
		if (soundSuspects.size <= maxSoundSuspects) {
			return;
		}

		soundSuspects.delete(id);
	}
}

/** When a suspect was last seen to be sound; undefined when that is long ago, or it never was. */
export function getSoundAt({soundSuspects, now, limits}: Gateway, suspect: string): number | undefined {
	const at = soundSuspects.get(suspect);
	return at !== undefined && now - at <= limits.soundMemoryMs ? at : undefined;
}

/** Whether a suspect may have caused a crash. */
export function isSuspect(gateway: Gateway, crash: Crash, suspect: string): boolean {
	return !crash.isDisproved && crash.suspects.has(suspect) && crash.at > (getSoundAt(gateway, suspect) ?? Number.NEGATIVE_INFINITY);
}

/** Age from which a crash that was neither confirmed nor disproved counts against requests, in milliseconds. */
const unconfirmedCrashMs = 1000;

/**
Whether a crash counts as evidence against suspects of a kind. A target that runs only a harmful request has no other answer whose break
would confirm the crash, so against requests an unconfirmed crash counts too: one request rarely breaks answers of several processes that
go on.
*/
export function isEvidence({now}: Gateway, {isConfirmed, isDisproved, at}: Crash, kind: SuspectKind): boolean {
	return !isDisproved && (isConfirmed || (kind === SuspectKind.Request && now - at >= unconfirmedCrashMs));
}

/** Number of crashes after which a call with a suspect that was never sound isn't sent to one more target. */
const crashesBeforeResendEnds = 2;

/** Whether a call whose answer broke is likely to have crashed its target, so that the next one would crash too. */
export function isLikelyHarmful(gateway: Gateway, call: Call): boolean {
	return getSuspects(call).some(suspect =>
		getSoundAt(gateway, suspect) === undefined
		&& [...gateway.crashes.values()].filter(crash => isSuspect(gateway, crash, suspect)).length >= crashesBeforeResendEnds);
}

/** Records the suspects of long answers as sound, and forgets old crashes. */
export function crashEvidenceSystem(gateway: Gateway) {
	const {
		calls, crashes, limits, now,
	} = gateway;
	for (const [key, {at}] of crashes) {
		if (now - at > limits.crashMemoryMs) {
			crashes.delete(key);
		}
	}

	if ((crashes.size === 0 && gateway.quarantines.size === 0) || !startPeriodIfDue(gateway, 'soundAnswers', soundAnswersMs)) {
		return;
	}

	for (const call of calls.rows()) {
		if (call.firstByteAt !== undefined && now - call.firstByteAt > limits.crashDelayMs) {
			recordSoundCall(gateway, call);
		}
	}
}

export function createCrashEntries({crashes, self, now}: Gateway): CrashEntry[] {
	const recent = [...crashes.values()].filter(({at}) => now - at <= reportedCrashMs);
	const own = recent.filter(({brokenCalls, isDisproved}) => !isDisproved && brokenCalls.has(self.id)).slice(-maxReportedCrashes);
	const disproved = recent.filter(({isDisproved}) => isDisproved).slice(-maxReportedCrashes);
	return [...own, ...disproved].map(({
		target, startId, at, brokenCalls, isConfirmed, isDisproved, ownSuspects,
	}) => ({
		target, startId, ageMs: Math.round(now - at), brokenCalls: brokenCalls.get(self.id) ?? 0, isConfirmed, isDisproved, suspects: isDisproved ? [] : [...ownSuspects].slice(-maxReportedSuspects),
	}));
}

/** Creates entries for what is suspected anywhere, as far as it was sound at this instance. */
export function createSoundSuspectEntries(gateway: Gateway): SoundSuspectEntry[] {
	const {crashes, quarantines, now} = gateway;
	const suspected = new Set([...quarantines.keys(), ...[...crashes.values()].filter(({at}) => now - at <= reportedCrashMs).flatMap(({suspects}) => [...suspects])]);
	return [...suspected]
		.map(suspect => ({suspect, at: getSoundAt(gateway, suspect)}))
		.filter((entry): entry is {suspect: string; at: number} => entry.at !== undefined)
		.slice(0, maxReportedSoundSuspects)
		.map(({suspect, at}) => ({suspect, ageMs: Math.round(now - at)}));
}

/** Finds the crash that another instance reports; creates it when it isn't known. */
function findReportedCrash(gateway: Gateway, {target: id, startId, ageMs}: CrashEntry): Crash | undefined {
	const at = gateway.now - ageMs;
	const known = gateway.crashes.get(createKey({id, startId}));
	if (!known || (!known.isConfirmed && at - known.at > reportToleranceMs)) {
		return addCrash(gateway, {id, startId}, at);
	}

	return known.isConfirmed || Math.abs(at - known.at) <= reportToleranceMs ? known : undefined;
}

/** Whether a process has begun an answer after a time. */
function hasAnsweredSince({targets}: Gateway, {id, startId}: TargetProcess, at: number): boolean {
	const target = targets.get(id);
	return target?.startId === startId && target.lastAnswerAt > at + reportToleranceMs;
}

/** Applies the crashes and the sound suspects that another instance reported in a digest. */
export function applyReportedEvidence(gateway: Gateway, {id: reporter}: Instance, crashes: CrashEntry[], soundSuspects: SoundSuspectEntry[]) {
	for (const entry of crashes) {
		const crash = findReportedCrash(gateway, entry);
		if (!crash) {
			continue;
		}

		crash.at = Math.min(crash.at, gateway.now - entry.ageMs);
		crash.brokenCalls.set(reporter, entry.brokenCalls);
		crash.isConfirmed ||= entry.isConfirmed || countBrokenCalls(crash) >= minBrokenTogether;
		crash.isDisproved ||= entry.isDisproved || hasAnsweredSince(gateway, {id: entry.target, startId: entry.startId}, crash.at);
		for (const suspect of entry.suspects) {
			crash.suspects.add(suspect);
		}
	}

	for (const {suspect, ageMs} of soundSuspects) {
		const at = gateway.now - ageMs;
		if (at > (gateway.soundSuspects.get(suspect) ?? Number.NEGATIVE_INFINITY)) {
			gateway.soundSuspects.set(suspect, at);
		}
	}
}
