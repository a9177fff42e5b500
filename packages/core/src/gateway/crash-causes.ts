/*
Attribution of crashes: which suspect is the cause. Of the suspects of several crashes, it is the one that most of them have in common.
Of a request and its segments it is the request, unless a segment crashed more targets than any request with it. Crashes that a
quarantine explains don't count against other suspects, and a suspect that was sound recently needs more evidence. Crashes at the same
time have another cause, such as a failure domain without power.
*/
import {getSoundAt, isEvidence, isSuspect} from './crash-evidence.ts';
import type {Gateway} from './gateway.ts';
import type {Crash} from './rows.ts';
import {getSuspectKind, SuspectKind} from './suspects.ts';

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

/** Evidence against a suspect. */
type Evidence = {
	suspect: string;
	/** Number of crashes, and of those that count, since crashes that happened together may have one cause. */
	crashes: number;
	countedCrashes: number;
};

/**
Count how many crashes of a group that happened together are evidence against a suspect. A failure domain without power also ends targets
that don't run a given request, so if all crashes of the group are under copies of one request, each of them counts.
*/
const groupCounters: Record<SuspectKind, (suspectedCrashes: number, group: Crash[]) => number> = {
	[SuspectKind.Segment]: () => 1,
	[SuspectKind.Request]: (suspectedCrashes, group) => suspectedCrashes === group.length ? suspectedCrashes : 1,
};

/** Finds the crashes that are settled evidence against suspects of a kind. */
function findSettledCrashes(gateway: Gateway, kind: SuspectKind): Crash[] {
	const {crashes, limits, now} = gateway;
	return [...crashes.values()].filter(crash => isEvidence(gateway, crash, kind) && now - crash.at >= limits.digestMs + settlingMarginMs);
}

/** Counts the crashes that are evidence against each suspect of a kind. */
function countCrashes(gateway: Gateway, crashes: Crash[], kind: SuspectKind): Map<string, Evidence> {
	const evidence = new Map<string, Evidence>();
	for (const group of groupByTime(gateway, crashes)) {
		const suspected = group.flatMap(crash => [...crash.suspects].filter(suspect => getSuspectKind(suspect) === kind && isSuspect(gateway, crash, suspect)));
		for (const suspect of new Set(suspected)) {
			const {crashes: crashCount, countedCrashes} = evidence.get(suspect) ?? {crashes: 0, countedCrashes: 0};
			const suspectedCrashes = suspected.filter(id => id === suspect).length;
			evidence.set(suspect, {suspect, crashes: crashCount + suspectedCrashes, countedCrashes: countedCrashes + groupCounters[kind](suspectedCrashes, group)});
		}
	}

	return evidence;
}

/** Whether a suspect in quarantine, of one of the kinds, explains a crash. */
function isExplained({quarantines}: Gateway, {suspects}: Crash, kinds: SuspectKind[]): boolean {
	return [...suspects].some(suspect => quarantines.has(suspect) && kinds.includes(getSuspectKind(suspect)));
}

/** Crashes under a segment, beside those of one request in quarantine, after which that request's count against the segment too. */
const minFurtherCrashes = 2;

/** Whether crashes under a segment point to it rather than to one of the requests in quarantine that had it. */
function isBeyondOneRequest({quarantines}: Gateway, crashes: Crash[]): boolean {
	const requests = [...quarantines.keys()].filter(suspect => getSuspectKind(suspect) === SuspectKind.Request);
	return requests.every(request => crashes.filter(({suspects}) => !suspects.has(request)).length >= minFurtherCrashes);
}

/** Collects the evidence against each suspect, as far as no quarantine explains it. */
const evidenceCollectors: Record<SuspectKind, (gateway: Gateway) => Evidence[]> = {
	[SuspectKind.Request](gateway) {
		const crashes = findSettledCrashes(gateway, SuspectKind.Request).filter(crash => !isExplained(gateway, crash, [SuspectKind.Segment, SuspectKind.Request]));
		return [...countCrashes(gateway, crashes, SuspectKind.Request).values()];
	},
	[SuspectKind.Segment](gateway) {
		const crashes = findSettledCrashes(gateway, SuspectKind.Segment).filter(crash => !isExplained(gateway, crash, [SuspectKind.Segment]));
		const unexplained = crashes.filter(crash => !isExplained(gateway, crash, [SuspectKind.Request]));
		const unexplainedEvidence = countCrashes(gateway, unexplained, SuspectKind.Segment);
		return [...countCrashes(gateway, crashes, SuspectKind.Segment).values()].flatMap(evidence => {
			const crashesWith = crashes.filter(crash => isSuspect(gateway, crash, evidence.suspect));
			return isBeyondOneRequest(gateway, crashesWith) ? evidence : unexplainedEvidence.get(evidence.suspect) ?? [];
		});
	},
};

/** Selects the suspects with the most evidence. */
function selectLeaders(evidence: Evidence[]): Evidence[] {
	const counted = Math.max(0, ...evidence.map(({countedCrashes}) => countedCrashes));
	const candidates = evidence.filter(({countedCrashes}) => countedCrashes === counted);
	const crashes = Math.max(0, ...candidates.map(entry => entry.crashes));
	return candidates.filter(entry => entry.crashes === crashes);
}

/** Whether the evidence against segments that were never sound is high enough; more is needed when it is against several. */
function isClear({limits: {crashesBeforeQuarantine, crashesOfSoundSuspect}}: Gateway, leaders: Evidence[]): boolean {
	const {countedCrashes, crashes} = leaders[0]!;
	return countedCrashes >= crashesBeforeQuarantine && (leaders.length === 1 || crashes >= crashesOfSoundSuspect);
}

/** Selects the suspects that were never sound with the most evidence against them, if it is high enough. */
function selectNeverSound(gateway: Gateway, segments: Evidence[], requests: Evidence[]): Evidence[] {
	const requestCrashes = requests[0]?.countedCrashes ?? 0;
	if (segments.length > 0 && segments[0]!.countedCrashes > requestCrashes && isClear(gateway, segments)) {
		return segments;
	}

	return requestCrashes >= gateway.limits.crashesBeforeQuarantine ? requests : [];
}

/** Selects the suspects with the most evidence against them, if it is high enough; none otherwise. */
export function selectCauses(gateway: Gateway): string[] {
	const isNeverSound = ({suspect}: Evidence) => getSoundAt(gateway, suspect) === undefined;
	const segments = evidenceCollectors[SuspectKind.Segment](gateway);
	const requests = evidenceCollectors[SuspectKind.Request](gateway);
	const leadingSegments = selectLeaders(segments.filter(entry => isNeverSound(entry)));
	const leadingRequests = selectLeaders(requests.filter(entry => isNeverSound(entry)));
	const neverSound = selectNeverSound(gateway, leadingSegments, leadingRequests);
	if (neverSound.length > 0) {
		return neverSound.map(({suspect}) => suspect);
	}

	const otherCrashes = Math.max(leadingSegments[0]?.countedCrashes ?? 0, leadingRequests[0]?.countedCrashes ?? 0);
	const [longestUnsound] = selectLeaders([...segments, ...requests].filter(entry => !isNeverSound(entry)))
		.toSorted((a, b) => getSoundAt(gateway, a.suspect)! - getSoundAt(gateway, b.suspect)!);
	const isCause = longestUnsound !== undefined && longestUnsound.countedCrashes >= gateway.limits.crashesOfSoundSuspect && longestUnsound.countedCrashes > otherCrashes;
	return isCause ? [longestUnsound.suspect] : [];
}
