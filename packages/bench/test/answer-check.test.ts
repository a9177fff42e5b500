import {createAnswerCheck} from '../src/load/answer-check.ts';

const token = (offset: number, id = 'chatcmpl-1') =>
	`id: ${offset}\ndata: ${JSON.stringify({id, choices: [{delta: {content: `t${offset} `}}]})}\n\n`;
const usage = `data: ${JSON.stringify({id: 'chatcmpl-1', choices: [], usage: {}})}\n\n`;
const done = 'data: [DONE]\n\n';

function findFault(chunks: string[], expectedTokens = 2): string {
	const check = createAnswerCheck(expectedTokens);
	for (const chunk of chunks) {
		check.feed(chunk);
	}

	return check.getFault();
}

test('a complete answer has no fault, however the stream is split into chunks', () => {
	const text = token(0) + token(1) + usage + done;
	expect(findFault([text])).toBe('');
	expect(findFault([...text])).toBe('');
});

test('tokens are counted as they arrive', () => {
	const check = createAnswerCheck(3);
	expect(check.feed(token(0) + token(1))).toBe(2);
	expect(check.feed(token(2))).toBe(1);
	expect(check.getTokens()).toBe(3);
});

test.each([
	['ends early', [token(0), token(1)], 'no [DONE]'],
	['skips an offset', [token(0), token(2), done], 'offset 2 follows 0'],
	['repeats a token', [token(0), token(0), done], 'offset 0 follows 0'],
	['starts after offset 0', [token(1), token(2), done], 'starts at offset 1'],
	['changes its completion id', [token(0), token(1, 'chatcmpl-2'), done], 'answer chatcmpl-2 in the stream of chatcmpl-1'],
	['is too short', [token(0), done], '1 of 2 tokens'],
	['has an event after [DONE]', [token(0), token(1), done, usage], 'an event after [DONE]'],
	['contains an error event', ['data: {"error":{"kind":"answer-broken"}}\n\n'], 'error event answer-broken'],
])('an answer that %s is invalid', (_, chunks, fault) => {
	expect(findFault(chunks)).toBe(fault);
});
