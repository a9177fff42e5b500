import {createAnswerCheck} from '../src/load/answer-check.ts';

const token = (offset: number, id = 'chatcmpl-1') =>
	`id: ${offset}\ndata: ${JSON.stringify({id, choices: [{delta: {content: `t${offset} `}}]})}\n\n`;
const usage = `data: ${JSON.stringify({id: 'chatcmpl-1', choices: [], usage: {}})}\n\n`;
const done = 'data: [DONE]\n\n';

function faultOf(pieces: string[], expected = 2): string {
	const check = createAnswerCheck(expected);
	for (const piece of pieces) {
		check.feed(piece);
	}

	return check.fault();
}

test('a whole answer has no fault, however it is cut into pieces', () => {
	const text = token(0) + token(1) + usage + done;
	expect(faultOf([text])).toBe('');
	expect(faultOf([...text])).toBe('');
});

test('tokens are counted as they come', () => {
	const check = createAnswerCheck(3);
	expect(check.feed(token(0) + token(1))).toBe(2);
	expect(check.feed(token(2))).toBe(1);
	expect(check.tokens()).toBe(3);
});

test.each([
	['ends early', [token(0), token(1)], 'no [DONE]'],
	['has a hole', [token(0), token(2), done], 'offset 2 follows 0'],
	['repeats a token', [token(0), token(0), done], 'offset 0 follows 0'],
	['starts late', [token(1), token(2), done], 'starts at offset 1'],
	['changes its id', [token(0), token(1, 'chatcmpl-2'), done], 'answer chatcmpl-2 in the stream of chatcmpl-1'],
	['is too short', [token(0), done], '1 of 2 tokens'],
	['goes on after its end', [token(0), token(1), done, usage], 'an event after [DONE]'],
	['holds an error', ['data: {"error":{"kind":"answer-broken"}}\n\n'], 'error event answer-broken'],
])('an answer that %s is not whole', (_, pieces, fault) => {
	expect(faultOf(pieces)).toBe(fault);
});
