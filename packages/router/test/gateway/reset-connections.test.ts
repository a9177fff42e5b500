import {once} from 'node:events';
import {connect} from 'node:net';
import {waitUntil} from '../support/deployment.ts';
import {startTestRouter} from '../support/gateway-router.ts';
import {startRawTarget} from '../support/raw-target.ts';

test('requests that wait for the answer before them on a connection that is reset are cancelled', async () => {
	const target = await startRawTarget(() => {
		// It never answers.
	});
	const tested = await startTestRouter([target.address], 25_000);
	try {
		const [host, port] = tested.callerAddress.split(':');
		const caller = connect({host, port: Number(port)});
		await once(caller, 'connect');
		caller.write('GET /look/x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: r1\r\nX-Remaining: 25000\r\n\r\n'.repeat(3));
		await waitUntil('the target has the requests', async () => target.requests.length === 3);
		caller.resetAndDestroy();
		await waitUntil('no call is open', async () => tested.router.gateway.calls.size === 0);
	} finally {
		await tested.stop();
		await target.stop();
	}
});
