/*
Quarantine of what crashes targets. The loads that it answers: requests, no two alike, at any instance, with one prompt segment in
common under which each target that begins to answer crashes; and one request that comes again at any instance, under new ids, and
crashes each target that runs it. Each crash loses all answers of its target, so the cause is sought in the evidence of the whole fleet,
and calls with it are refused at once at all instances. Calls that share everything else with them are served.

When a quarantine is over, one call is let through as a trial: at first only by the instance that rendezvous hashing prefers, then by the
others one after the other. An answer to it ends the quarantine, a crash doubles it. A request whose trials crashed targets too gets no
further trial for as long as it is asked for.
*/
import type {QuarantineEntry} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {
	Outcome, RefusalKind, type Refusal,
} from '../refusal.ts';
import {countPreferred} from '../rendezvous-hash.ts';
import {startPeriodIfDue} from '../world.ts';
import {selectCauses} from './crash-causes.ts';
import {getSoundAt, isEvidence} from './crash-evidence.ts';
import {
	addLogLine, isAlive, isSelf, type Gateway,
} from './gateway.ts';
import type {GatewayLimits} from './limits.ts';
import type {
	Call, Crash, Instance, Quarantine,
} from './rows.ts';
import {
	createSuspectFields, getSuspectKind, getSuspects, SuspectKind,
} from './suspects.ts';

const maxQuarantines = 256;

/** Maximum number of quarantines in a digest. */
const maxReportedQuarantines = 64;

/** Period at which crashes are assessed, in milliseconds. */
const assessmentMs = 100;

function findCrashesWith(gateway: Gateway, suspect: string): Crash[] {
	const kind = getSuspectKind(suspect);
	return [...gateway.crashes.values()].filter(crash => isEvidence(gateway, crash, kind) && crash.suspects.has(suspect));
}

/** Durations of the quarantines of a kind of suspect, and their names in the log and in refusals. */
type QuarantineRules = {
	durationMs: number;
	maxDurationMs: number;
	/** Crashes after which there is no trial any more. */
	crashesBeforeTrialsEnd: number;
	logTexts: {start: string; trial: string; end: string};
	refusalKind: RefusalKind;
	createRefusalDetail: (suspect: string) => string;
};

/** Creates the rules of quarantines of each kind. */
const quarantineRules: Record<SuspectKind, (limits: GatewayLimits) => QuarantineRules> = {
	[SuspectKind.Segment]: ({quarantineMs, maxQuarantineMs}) => ({
		durationMs: quarantineMs,
		maxDurationMs: maxQuarantineMs,
		crashesBeforeTrialsEnd: Number.POSITIVE_INFINITY,
		logTexts: {start: 'prompt segment put into quarantine', trial: 'prompt segment tried', end: 'prompt segment taken out of quarantine'},
		refusalKind: RefusalKind.PromptQuarantined,
		createRefusalDetail: suspect => suspect,
	}),
	[SuspectKind.Request]: ({requestQuarantineMs, maxRequestQuarantineMs, crashesBeforeTrialsEnd}) => ({
		durationMs: requestQuarantineMs,
		maxDurationMs: maxRequestQuarantineMs,
		crashesBeforeTrialsEnd,
		logTexts: {start: 'request put into quarantine', trial: 'request tried', end: 'request taken out of quarantine'},
		refusalKind: RefusalKind.RequestQuarantined,
		createRefusalDetail: suspect => createSuspectFields(suspect).fingerprint!,
	}),
};

function getRules({limits}: Gateway, suspect: string): QuarantineRules {
	return quarantineRules[getSuspectKind(suspect)](limits);
}

function addQuarantine(gateway: Gateway, quarantine: Omit<Quarantine, 'trialCall' | 'durationMs'>, fields: Record<string, unknown>) {
	const {quarantines, now} = gateway;
	const {suspect, crashes, until} = quarantine;
	const {durationMs, logTexts} = getRules(gateway, suspect);
	gateway.hasNewQuarantine = true;
	quarantines.set(suspect, {...quarantine, durationMs, trialCall: undefined});
	if (quarantines.size > maxQuarantines) {
		quarantines.delete(quarantines.keys().next().value!);
	}

	addLogLine(gateway, {
		part: LogPart.Target, level: 'warn', text: logTexts.start, fields: {
			...createSuspectFields(suspect), crashes, forMs: Math.round(until - now), ...fields,
		},
	});
}

/** Puts the suspects to which the evidence points into quarantine. */
function assessCrashes(gateway: Gateway): boolean {
	const causes = selectCauses(gateway);
	for (const suspect of causes) {
		const crashes = findCrashesWith(gateway, suspect);
		addQuarantine(gateway, {
			suspect, crashes: crashes.length, lastCrashAt: Math.max(...crashes.map(({at}) => at)), until: gateway.now + getRules(gateway, suspect).durationMs,
		}, {targets: crashes.map(({target}) => target).join(',')});
	}

	return causes.length > 0;
}

/** Counts further crashes of a suspect in quarantine: of calls that were at targets already, or of its trial. */
function updateLastCrash(gateway: Gateway, quarantine: Quarantine) {
	const later = findCrashesWith(gateway, quarantine.suspect).filter(({at}) => at > quarantine.lastCrashAt);
	quarantine.crashes += later.length;
	quarantine.lastCrashAt = Math.max(quarantine.lastCrashAt, ...later.map(({at}) => at));
}

/** Ends the trial that a call was, since its answer broke. */
export function failTrial(gateway: Gateway, {id}: Call) {
	for (const quarantine of gateway.quarantines.values()) {
		if (quarantine.trialCall === id) {
			quarantine.durationMs = Math.min(getRules(gateway, quarantine.suspect).maxDurationMs, 2 * quarantine.durationMs);
			quarantine.until = gateway.now + quarantine.durationMs;
			quarantine.trialCall = undefined;
		}
	}
}

/** Puts suspects into quarantine, and takes out those that have proved sound or weren't asked for since their quarantine ended. */
export function quarantinesSystem(gateway: Gateway) {
	const {crashes, quarantines, now} = gateway;
	if ((crashes.size === 0 && quarantines.size === 0) || !startPeriodIfDue(gateway, 'crashAssessment', assessmentMs)) {
		return;
	}

	while (assessCrashes(gateway)) {
		// The crashes that a new quarantine explains no longer count, which may leave another clear cause.
	}

	for (const quarantine of quarantines.values()) {
		updateLastCrash(gateway, quarantine);
		const {suspect, lastCrashAt, until} = quarantine;
		const {maxDurationMs, logTexts} = getRules(gateway, suspect);
		const isSound = (getSoundAt(gateway, suspect) ?? Number.NEGATIVE_INFINITY) > lastCrashAt;
		if (isSound || now > until + maxDurationMs) {
			quarantines.delete(suspect);
			addLogLine(gateway, {part: LogPart.Target, text: logTexts.end, fields: {...createSuspectFields(suspect), reason: isSound ? 'sound' : 'not used'}});
		}
	}
}

/** Number of alive serving instances that rendezvous hashing prefers to this one for a suspect. */
function getResponsibilityRank(gateway: Gateway, suspect: string): number {
	const {instances, servingInstances, self} = gateway;
	const others = [...instances.rows()].filter(instance => servingInstances.has(instance.id) && !isSelf(gateway, instance) && isAlive(gateway, instance));
	return countPreferred(suspect, self.id, others.map(({id}) => id));
}

/** Whether this instance is the one that writes the quarantine of a suspect to the store, and may let its trial through first. */
export function isResponsible(gateway: Gateway, suspect: string): boolean {
	return getResponsibilityRank(gateway, suspect) === 0;
}

/**
Delay after which the next instance in rendezvous order may let a trial through too, in milliseconds: longer than the result of a trial
takes to reach all instances. A caller that doesn't use the first instance gets its trial at another one.
*/
const trialStaggerMs = 2000;

/** Whether a call may be sent though a suspect of it is in quarantine: it is the trial, or becomes it. */
function isTrial(gateway: Gateway, quarantine: Quarantine, call: string): boolean {
	const {now, calls} = gateway;
	const {suspect, crashes, until, durationMs, trialCall} = quarantine;
	if (trialCall === call) {
		return true;
	}

	const {crashesBeforeTrialsEnd, logTexts} = getRules(gateway, suspect);
	if (crashes >= crashesBeforeTrialsEnd) {
		// It stays in quarantine for as long as it is asked for.
		quarantine.until = Math.max(until, now + durationMs);
		return false;
	}

	const isTrialOpen = trialCall !== undefined && calls.has(trialCall);
	if (now < until || isTrialOpen || now < until + (getResponsibilityRank(gateway, suspect) * trialStaggerMs)) {
		return false;
	}

	quarantine.trialCall = call;
	addLogLine(gateway, {
		part: LogPart.Target, text: logTexts.trial, request: call, fields: createSuspectFields(suspect),
	});
	return true;
}

/** Finds the quarantine for which a call must not be sent to a target. */
export function findQuarantine(gateway: Gateway, call: Call): Quarantine | undefined {
	if (gateway.quarantines.size === 0) {
		return undefined;
	}

	return getSuspects(call)
		.map(suspect => gateway.quarantines.get(suspect))
		.find((quarantine): quarantine is Quarantine => quarantine !== undefined && !isTrial(gateway, quarantine, call.id));
}

/** Shortest retry-after delay of a call with a suspect in quarantine, in milliseconds: its trial may be under way. */
const minQuarantineRetryMs = 1000;

export function createQuarantineRefusal(gateway: Gateway, {suspect, until}: Quarantine): Refusal {
	const {refusalKind, createRefusalDetail} = getRules(gateway, suspect);
	return {
		kind: refusalKind, outcome: Outcome.NotRun, detail: createRefusalDetail(suspect), retryAfterMs: Math.max(minQuarantineRetryMs, Math.ceil(until - gateway.now)),
	};
}

/** Finds the calls, waiting or sent, with a suspect that has been put into quarantine since the last time. */
export function takeQuarantinedCalls(gateway: Gateway): Array<{call: Call; quarantine: Quarantine}> {
	if (!gateway.hasNewQuarantine) {
		return [];
	}

	gateway.hasNewQuarantine = false;
	return [...gateway.calls.rows()]
		.map(call => ({call, quarantine: findQuarantine(gateway, call)}))
		.filter((entry): entry is {call: Call; quarantine: Quarantine} => entry.quarantine !== undefined);
}

export function createQuarantineEntry({now}: Gateway, {
	suspect, crashes, lastCrashAt, until,
}: Quarantine): QuarantineEntry {
	return {
		suspect, crashes, ageMs: Math.round(now - lastCrashAt), remainingMs: Math.round(until - now),
	};
}

export function createQuarantineEntries(gateway: Gateway): QuarantineEntry[] {
	return [...gateway.quarantines.values()].slice(-maxReportedQuarantines).map(quarantine => createQuarantineEntry(gateway, quarantine));
}

/** Applies the quarantines that another instance reported in a digest. */
export function applyReportedQuarantines(gateway: Gateway, {id: source}: Instance, entries: QuarantineEntry[]) {
	for (const entry of entries) {
		applyReportedQuarantine(gateway, source, entry);
	}
}

/** Applies a quarantine that a source reported, unless an answer has shown since that the suspect is sound. */
export function applyReportedQuarantine(gateway: Gateway, source: string, {
	suspect, crashes, ageMs, remainingMs,
}: QuarantineEntry) {
	const {quarantines, now} = gateway;
	const lastCrashAt = now - ageMs;
	const until = now + remainingMs;
	const known = quarantines.get(suspect);
	if (known) {
		known.crashes = Math.max(known.crashes, crashes);
		known.lastCrashAt = Math.max(known.lastCrashAt, lastCrashAt);
		known.until = Math.max(known.until, until);
	} else if ((getSoundAt(gateway, suspect) ?? Number.NEGATIVE_INFINITY) <= lastCrashAt && now <= until + getRules(gateway, suspect).maxDurationMs) {
		addQuarantine(gateway, {
			suspect, crashes, lastCrashAt, until,
		}, {source});
	}
}
