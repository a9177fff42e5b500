import {answerHeaders, requestHeaders} from '../../src/gateway/connection-headers.ts';

test('headers of the caller\'s connection, and those that it names, are not passed on', () => {
	expect(requestHeaders(['Host', 'a', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'X-Keep', '2', 'Transfer-Encoding', 'chunked', 'Content-Length', '3', 'Keep-Alive', '5']))
		.toEqual(['Host', 'a', 'X-Keep', '2']);
});

test('a target\'s headers reach the caller but for those of its connection', () => {
	expect(answerHeaders({
		connection: 'close, x-hop', 'x-hop': '1', 'content-length': '3', 'x-seal': 'abc', 'set-cookie': ['a', 'b'], 'keep-alive': 'timeout=5',
	})).toEqual({'x-seal': 'abc', 'set-cookie': ['a', 'b']});
});
