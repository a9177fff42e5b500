import {
	countReverts, computeReleaseFigures, computeSlowestInForceMs, type PostedRelease,
} from '../src/scenarios/release-audit.ts';

function createPostedRelease(reason: string, status: number, revision?: number, answeredAt = 0): PostedRelease {
	return {
		reason, status, revision, answeredAt,
	};
}

test.each([
	{name: 'accepted and is in the history', entries: [createPostedRelease('a', 200, 2)], verdict: {accepted: 1, lostReleases: 0, falseAnswers: 0}},
	{name: 'accepted but replaced by another in the history', entries: [createPostedRelease('b', 200, 2)], verdict: {accepted: 1, lostReleases: 1, falseAnswers: 0}},
	{name: 'accepted but is missing in the history', entries: [createPostedRelease('a', 200, 7)], verdict: {accepted: 1, lostReleases: 1, falseAnswers: 0}},
	{name: 'rejected but is in the history', entries: [createPostedRelease('a', 503)], verdict: {accepted: 0, lostReleases: 0, falseAnswers: 1}},
	{name: 'answered as unknown and is in the history', entries: [createPostedRelease('a', 504)], verdict: {unknown: 1, lostReleases: 0, falseAnswers: 0}},
	{name: 'never answered', entries: [createPostedRelease('z', 0)], verdict: {unknown: 1, lostReleases: 0, falseAnswers: 0}},
])('a release that was $name', ({entries, verdict}) => {
	expect(computeReleaseFigures(entries, new Map([[2, 'a']]))).toMatchObject(verdict);
});

test('a release that is twice in the history is a false answer', () => {
	expect(computeReleaseFigures([createPostedRelease('a', 200, 2)], new Map([[2, 'a'], [3, 'a']])).falseAnswers).toBe(1);
});

test('a lower revision is a revert, also after a start with no revision loaded yet', () => {
	const revisions = [3, 0, 2, 4];
	expect(countReverts(revisions.map((revision, at) => ({router: 'a', at, revision})))).toBe(1);
});

test('the time until a release is in force is that of the slowest router, from its start when that was later', () => {
	const reports = [
		{router: 'a', at: 1500, revision: 2}, {router: 'b', at: 5000, revision: 3},
	];
	const starts = [{router: 'a', from: 0}, {router: 'b', from: 0}, {router: 'b', from: 4800}];
	expect(computeSlowestInForceMs([createPostedRelease('r', 200, 2, 1000)], reports, starts)).toBe(500);
	expect(computeSlowestInForceMs([createPostedRelease('r', 200, 4, 1000)], reports, starts)).toBe(Number.POSITIVE_INFINITY);
});
