import {filterAnswerHeaders, filterRequestHeaders} from '../../src/gateway/hop-by-hop-headers.ts';

test('hop-by-hop headers of the caller, also those that its Connection header lists, are not forwarded', () => {
	expect(filterRequestHeaders(['Host', 'a', 'Connection', 'keep-alive, X-Hop', 'X-Hop', '1', 'X-Keep', '2', 'Transfer-Encoding', 'chunked', 'Content-Length', '3', 'Keep-Alive', '5']))
		.toEqual(['Host', 'a', 'X-Keep', '2']);
});

test('a target\'s headers reach the caller but for those of its connection', () => {
	expect(filterAnswerHeaders({
		connection: 'close, x-hop', 'x-hop': '1', 'content-length': '3', 'x-seal': 'abc', 'set-cookie': ['a', 'b'], 'keep-alive': 'timeout=5',
	})).toEqual({'x-seal': 'abc', 'set-cookie': ['a', 'b']});
});
