/*
Quarantine of prompt segments that crash targets. The load that it answers: requests, no two alike, at any instance, with one segment
in common under which each target that begins to answer crashes. Each crash loses all answers of its target, so the segment is sought
in the evidence of the whole fleet, and calls with it are refused at once at all instances. Calls that share their workspace, route
and all other segments are served.

Of the suspects of several crashes, the segment that most of them have in common is the cause. Crashes that a segment in quarantine
explains don't count against others, and a segment that was sound recently needs more evidence. Crashes at the same time have another
cause, such as a failure domain without power.

When the quarantine is over, one instance, the same for the whole fleet, lets one call through. It ends the quarantine when it is
answered, or doubles it.
*/
import type {QuarantineEntry} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {
	Outcome, RefusalKind, type Refusal,
} from '../refusal.ts';
import {selectByRendezvous} from '../rendezvous-hash.ts';
import {startPeriodIfDue} from '../world.ts';
import {getSoundAt, isSuspect} from './crash-evidence.ts';
import {
	addLogLine, isAlive, isSelf, type Gateway,
} from './gateway.ts';
import {getSharedSegmentIds} from './prompt-segments.ts';
import type {
	Call, Crash, Instance, Prompt, Quarantine,
} from './rows.ts';

const maxQuarantines = 256;

/** Maximum number of quarantines in a digest. */
const maxReportedQuarantines = 64;

/** Period at which crashes are assessed, in milliseconds. */
const assessmentMs = 100;

/** Time in which digests of other instances may still add suspects to a crash, in addition to their period; in milliseconds. */
const settlingMarginMs = 200;

/** Groups crashes that happened together. */
function groupByTime({limits}: Gateway, crashes: Crash[]): Crash[][] {
	const groups: Crash[][] = [];
	for (const crash of crashes.toSorted((a, b) => a.at - b.at)) {
		const last = groups.at(-1)?.at(-1);
		if (last && crash.at - last.at <= limits.commonCauseMs) {
			groups.at(-1)!.push(crash);
		} else {
			groups.push([crash]);
		}
	}

	return groups;
}

/** Evidence against a segment. */
type Evidence = {
	segment: string;
	/** Number of crashes, and of groups of crashes that happened together. */
	crashes: number;
	groups: number;
};

/** Counts the crashes that are evidence against each segment and that no segment in quarantine explains. */
function countUnexplainedCrashes(gateway: Gateway): Evidence[] {
	const {crashes, quarantines, limits, now} = gateway;
	const unexplained = [...crashes.values()].filter(({at, isConfirmed, isDisproved, suspects}) =>
		isConfirmed && !isDisproved && now - at >= limits.digestMs + settlingMarginMs && [...suspects].every(segment => !quarantines.has(segment)));
	const evidence = new Map<string, Evidence>();
	for (const group of groupByTime(gateway, unexplained)) {
		const suspected = group.flatMap(crash => [...crash.suspects].filter(segment => isSuspect(gateway, crash, segment)));
		for (const segment of new Set(suspected)) {
			const {crashes: crashCount, groups} = evidence.get(segment) ?? {crashes: 0, groups: 0};
			evidence.set(segment, {segment, crashes: crashCount + suspected.filter(id => id === segment).length, groups: groups + 1});
		}
	}

	return [...evidence.values()];
}

/** Selects the segments with the most evidence. */
function selectLeaders(evidence: Evidence[]): Evidence[] {
	const groups = Math.max(0, ...evidence.map(entry => entry.groups));
	const candidates = evidence.filter(entry => entry.groups === groups);
	const crashes = Math.max(0, ...candidates.map(entry => entry.crashes));
	return candidates.filter(entry => entry.crashes === crashes);
}

/** Whether the evidence against segments that were never sound is high enough; more is needed when it is against several. */
function isClear({limits: {crashesBeforeQuarantine, crashesOfSoundSegment}}: Gateway, leaders: Evidence[]): boolean {
	const {groups, crashes} = leaders[0]!;
	return groups >= crashesBeforeQuarantine && (leaders.length === 1 || crashes >= crashesOfSoundSegment);
}

/** Selects the segments with the most evidence against them, if it is high enough. */
function selectCauses(gateway: Gateway, evidence: Evidence[]): string[] {
	const neverSound = selectLeaders(evidence.filter(({segment}) => getSoundAt(gateway, segment) === undefined));
	if (neverSound.length > 0 && isClear(gateway, neverSound)) {
		return neverSound.map(({segment}) => segment);
	}

	const [longestUnsound] = selectLeaders(evidence.filter(({segment}) => getSoundAt(gateway, segment) !== undefined))
		.toSorted((a, b) => getSoundAt(gateway, a.segment)! - getSoundAt(gateway, b.segment)!);
	const isCause = longestUnsound !== undefined && longestUnsound.groups >= gateway.limits.crashesOfSoundSegment && longestUnsound.groups > (neverSound[0]?.groups ?? 0);
	return isCause ? [longestUnsound.segment] : [];
}

function findCrashesWith({crashes}: Gateway, segment: string): Crash[] {
	return [...crashes.values()].filter(({isConfirmed, isDisproved, suspects}) => isConfirmed && !isDisproved && suspects.has(segment));
}

function addQuarantine(gateway: Gateway, quarantine: Omit<Quarantine, 'trialCall' | 'durationMs'>, fields: Record<string, unknown>) {
	const {quarantines, limits, now} = gateway;
	const {segment, crashes, until} = quarantine;
	gateway.hasNewQuarantine = true;
	quarantines.set(segment, {...quarantine, durationMs: limits.quarantineMs, trialCall: undefined});
	if (quarantines.size > maxQuarantines) {
		quarantines.delete(quarantines.keys().next().value!);
	}

	addLogLine(gateway, {
		part: LogPart.Target, level: 'warn', text: 'prompt segment put into quarantine', fields: {
			segment, crashes, forMs: Math.round(until - now), ...fields,
		},
	});
}

/** Puts the segments to which the evidence points into quarantine. */
function assessCrashes(gateway: Gateway): boolean {
	const causes = selectCauses(gateway, countUnexplainedCrashes(gateway));
	for (const segment of causes) {
		const crashes = findCrashesWith(gateway, segment);
		addQuarantine(gateway, {
			segment, crashes: crashes.length, lastCrashAt: Math.max(...crashes.map(({at}) => at)), until: gateway.now + gateway.limits.quarantineMs,
		}, {targets: crashes.map(({target}) => target).join(',')});
	}

	return causes.length > 0;
}

/** Counts further crashes of a segment in quarantine: of calls that were at targets already, or of its trial. */
function updateLastCrash(gateway: Gateway, quarantine: Quarantine) {
	const later = findCrashesWith(gateway, quarantine.segment).filter(({at}) => at > quarantine.lastCrashAt);
	quarantine.crashes += later.length;
	quarantine.lastCrashAt = Math.max(quarantine.lastCrashAt, ...later.map(({at}) => at));
}

/** Ends the trial that a call was, since its answer broke. */
export function failTrial({quarantines, limits, now}: Gateway, {id}: Call) {
	for (const quarantine of quarantines.values()) {
		if (quarantine.trialCall === id) {
			quarantine.durationMs = Math.min(limits.maxQuarantineMs, 2 * quarantine.durationMs);
			quarantine.until = now + quarantine.durationMs;
			quarantine.trialCall = undefined;
		}
	}
}

/** Puts segments into quarantine, and takes out those that have proved sound or weren't asked for since their quarantine ended. */
export function quarantinesSystem(gateway: Gateway) {
	const {crashes, quarantines, limits, now} = gateway;
	if ((crashes.size === 0 && quarantines.size === 0) || !startPeriodIfDue(gateway, 'crashAssessment', assessmentMs)) {
		return;
	}

	while (assessCrashes(gateway)) {
		// The crashes that a new quarantine explains no longer count, which may leave another clear cause.
	}

	for (const quarantine of quarantines.values()) {
		updateLastCrash(gateway, quarantine);
		const {segment, lastCrashAt, until} = quarantine;
		const isSound = (getSoundAt(gateway, segment) ?? Number.NEGATIVE_INFINITY) > lastCrashAt;
		if (isSound || now > until + limits.maxQuarantineMs) {
			quarantines.delete(segment);
			addLogLine(gateway, {part: LogPart.Target, text: 'prompt segment taken out of quarantine', fields: {segment, reason: isSound ? 'sound' : 'not used'}});
		}
	}
}

/** Whether this instance is the one that lets a trial through. */
function isTrialHolder(gateway: Gateway, segment: string): boolean {
	const {instances, servingInstances, self} = gateway;
	const candidates = [...instances.rows()].filter(instance => servingInstances.has(instance.id) && (isSelf(gateway, instance) || isAlive(gateway, instance)));
	return (selectByRendezvous(segment, candidates, ({id}) => id)?.id ?? self.id) === self.id;
}

/** Whether a call may be sent though a segment of its prompt is in quarantine: it is the trial, or becomes it. */
function isTrial(gateway: Gateway, quarantine: Quarantine, call: string): boolean {
	if (quarantine.trialCall === call) {
		return true;
	}

	const isTrialOpen = quarantine.trialCall !== undefined && gateway.calls.has(quarantine.trialCall);
	if (gateway.now < quarantine.until || isTrialOpen || !isTrialHolder(gateway, quarantine.segment)) {
		return false;
	}

	quarantine.trialCall = call;
	addLogLine(gateway, {
		part: LogPart.Target, text: 'prompt segment tried', request: call, fields: {segment: quarantine.segment},
	});
	return true;
}

/** Finds the segment for which a call must not be sent to a target. */
export function findQuarantine(gateway: Gateway, {id, prompt}: {id: string; prompt: Prompt | undefined}): Quarantine | undefined {
	if (!prompt || gateway.quarantines.size === 0) {
		return undefined;
	}

	return getSharedSegmentIds(prompt)
		.map(segment => gateway.quarantines.get(segment))
		.find((quarantine): quarantine is Quarantine => quarantine !== undefined && !isTrial(gateway, quarantine, id));
}

/** Shortest retry-after delay of a call with a segment in quarantine, in milliseconds: its trial may be under way. */
const minQuarantineRetryMs = 1000;

export function createQuarantineRefusal({now}: Gateway, {segment, until}: Quarantine): Refusal {
	return {
		kind: RefusalKind.PromptQuarantined, outcome: Outcome.NotRun, detail: segment, retryAfterMs: Math.max(minQuarantineRetryMs, Math.ceil(until - now)),
	};
}

/** Finds the calls, waiting or sent, with a segment that has been put into quarantine since the last time. */
export function takeQuarantinedCalls(gateway: Gateway): Array<{call: Call; quarantine: Quarantine}> {
	if (!gateway.hasNewQuarantine) {
		return [];
	}

	gateway.hasNewQuarantine = false;
	return [...gateway.calls.rows()]
		.map(call => ({call, quarantine: findQuarantine(gateway, call)}))
		.filter((entry): entry is {call: Call; quarantine: Quarantine} => entry.quarantine !== undefined);
}

export function createQuarantineEntries({quarantines, now}: Gateway): QuarantineEntry[] {
	return [...quarantines.values()].slice(-maxReportedQuarantines).map(({
		segment, crashes, lastCrashAt, until,
	}) => ({
		segment, crashes, ageMs: Math.round(now - lastCrashAt), remainingMs: Math.round(until - now),
	}));
}

/** Applies the quarantines that another instance reported in a digest, unless an answer has shown since that a segment is sound. */
export function applyReportedQuarantines(gateway: Gateway, {id: source}: Instance, entries: QuarantineEntry[]) {
	const {quarantines, now} = gateway;
	for (const {
		segment, crashes, ageMs, remainingMs,
	} of entries) {
		const lastCrashAt = now - ageMs;
		const until = now + remainingMs;
		const known = quarantines.get(segment);
		if (known) {
			known.crashes = Math.max(known.crashes, crashes);
			known.lastCrashAt = Math.max(known.lastCrashAt, lastCrashAt);
			known.until = Math.max(known.until, until);
		} else if ((getSoundAt(gateway, segment) ?? Number.NEGATIVE_INFINITY) <= lastCrashAt && now <= until + gateway.limits.maxQuarantineMs) {
			addQuarantine(gateway, {
				segment, crashes, lastCrashAt, until,
			}, {source});
		}
	}
}
