/*
Compares the answers that operators got to their releases with the release history, and computes when each revision was in
force.
*/

/** A release that an operator posted; its reason is unique. */
export type PostedRelease = {
	reason: string;
	/** HTTP status; 0 without an answer. */
	status: number;
	/** Revision in the answer to an accepted release. */
	revision: number | undefined;
	/** Time at which the answer arrived, in milliseconds. */
	answeredAt: number;
};

/** Revision that a router reported at a time in milliseconds. */
export type ReportedRevision = {router: string; at: number; revision: number};

/** A start of a router, at a time in milliseconds. */
export type RouterStart = {router: string; from: number};

export type ReleaseFigures = {
	accepted: number;
	/** Releases whose answer left the outcome open, or that got no answer. */
	unknown: number;
	/** Accepted releases whose revision is missing in the history or has another release. */
	lostReleases: number;
	/** Releases that were rejected but are in the history, and repetitions of releases in the history. */
	falseAnswers: number;
};

const rejectedStatuses = new Set([409, 422, 503]);

/** Compares the answers with the history, which has the reason of each revision. */
export function computeReleaseFigures(posted: PostedRelease[], history: Map<number, string>): ReleaseFigures {
	const reasons = [...history.values()];
	const accepted = posted.filter(({status}) => status === 200);
	const falselyDenied = posted.filter(({status, reason}) => rejectedStatuses.has(status) && reasons.includes(reason));
	return {
		accepted: accepted.length,
		unknown: posted.filter(({status}) => status !== 200 && !rejectedStatuses.has(status)).length,
		lostReleases: accepted.filter(({revision, reason}) => revision === undefined || history.get(revision) !== reason).length,
		falseAnswers: falselyDenied.length + reasons.length - new Set(reasons).size,
	};
}

/** Counts reports of a lower revision than the router had before; 0 means that none is loaded yet, as after a start. */
export function countReverts(reports: ReportedRevision[]): number {
	const highest = new Map<string, number>();
	let reverts = 0;
	for (const {router, revision} of reports) {
		const before = highest.get(router) ?? 0;
		if (revision > 0 && revision < before) {
			reverts += 1;
		}

		highest.set(router, Math.max(before, revision));
	}

	return reverts;
}

/** Longest time in ms from the acceptance of a release, or from a later start of a router, until it was in force there. */
export function computeSlowestInForceMs(posted: PostedRelease[], reports: ReportedRevision[], starts: RouterStart[]): number {
	const routers = new Set(starts.map(({router}) => router));
	let slowest = 0;
	for (const {status, revision, answeredAt} of posted) {
		for (const router of status === 200 && revision !== undefined ? routers : []) {
			const report = reports.find(one => one.router === router && one.revision >= revision!);
			// For a router that was down when the release was accepted, the time counts from its next start.
			const startedAt = starts.findLast(start => start.router === router && start.from <= (report?.at ?? Number.POSITIVE_INFINITY))?.from ?? 0;
			slowest = Math.max(slowest, (report?.at ?? Number.POSITIVE_INFINITY) - Math.max(answeredAt, startedAt));
		}
	}

	return slowest;
}
