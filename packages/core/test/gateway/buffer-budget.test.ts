import {fitsAnswers, fitsRequest, type BufferBudget} from '../../src/gateway/buffer-budget.ts';

const budget: BufferBudget = {maxBufferedBytes: 1000, largeRequestBytes: 100, largeRequestsFraction: 0.8};

test.each([
	['a large request up to the part of large ones', 300, 500, true],
	['none beyond it', 300, 501, false],
	['a small one up to the whole budget', 100, 900, true],
	['none beyond it', 100, 901, false],
	['one without a body beside a full budget', 0, 2000, true],
	['one larger than the budget while nothing else is buffered', 5000, 0, true],
	['none larger than the budget beside another', 5000, 1, false],
])('the budget of buffered bytes admits %s', (_case, requestBytes, otherBytes, isAdmitted) => {
	expect(fitsRequest(budget, requestBytes, otherBytes)).toBe(isAdmitted);
});

test('answers are buffered up to the whole budget', () => {
	expect([1000, 1001].map(bytes => fitsAnswers(budget, bytes))).toEqual([true, false]);
});
