/*
Judges what operators were told of their releases by the history, and when each revision was in force.
*/

/** One release that an operator posted; its reason is different from that of every other. */
export type PostedRelease = {
	reason: string;
	/** HTTP status; 0 when no answer came. */
	status: number;
	/** Revision that an accepted release was said to have. */
	revision: number | undefined;
	/** When the answer came, in milliseconds. */
	answeredAt: number;
};

/** Revision that a router reported. */
export type ReportedRevision = {router: string; at: number; revision: number};

/** A router that serves since `from`. */
export type RouterStart = {router: string; from: number};

export type ReleaseFigures = {
	accepted: number;
	/** Answers that left open what happened, or that never came. */
	unknown: number;
	/** Accepted, but the history has another release under the revision, or none. */
	lostReleases: number;
	/** Said to have changed nothing, but in the history; or in it twice. */
	falseAnswers: number;
};

const unchangedStatuses = new Set([409, 422, 503]);

/** Compares the answers with the reasons in the history, by revision. */
export function computeReleaseFigures(posted: PostedRelease[], history: Map<number, string>): ReleaseFigures {
	const reasons = [...history.values()];
	const accepted = posted.filter(({status}) => status === 200);
	const denied = posted.filter(({status, reason}) => unchangedStatuses.has(status) && reasons.includes(reason));
	return {
		accepted: accepted.length,
		unknown: posted.filter(({status}) => status !== 200 && !unchangedStatuses.has(status)).length,
		lostReleases: accepted.filter(({revision, reason}) => revision === undefined || history.get(revision) !== reason).length,
		falseAnswers: denied.length + reasons.length - new Set(reasons).size,
	};
}

/** Times that a router reported a lower revision than it had; 0 stands for none read yet, as after a start. */
export function countReverts(sightings: ReportedRevision[]): number {
	const highest = new Map<string, number>();
	let reverts = 0;
	for (const {router, revision} of sightings) {
		const before = highest.get(router) ?? 0;
		if (revision > 0 && revision < before) {
			reverts += 1;
		}

		highest.set(router, Math.max(before, revision));
	}

	return reverts;
}

/** Longest time in milliseconds from an acceptance, or the later start of a router, until that router had it in force. */
export function computeSlowestInForceMs(posted: PostedRelease[], sightings: ReportedRevision[], starts: RouterStart[]): number {
	const routers = new Set(starts.map(({router}) => router));
	let slowest = 0;
	for (const {status, revision, answeredAt} of posted) {
		for (const router of status === 200 && revision !== undefined ? routers : []) {
			const seen = sightings.find(sighting => sighting.router === router && sighting.revision >= revision!);
			// A router that was down when the release was accepted counts from its next start.
			const startedAt = starts.findLast(start => start.router === router && start.from <= (seen?.at ?? Number.POSITIVE_INFINITY))?.from ?? 0;
			slowest = Math.max(slowest, (seen?.at ?? Number.POSITIVE_INFINITY) - Math.max(answeredAt, startedAt));
		}
	}

	return slowest;
}
