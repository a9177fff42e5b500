import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {TargetKind} from '@shallotloom/core/configuration.ts';
import type {Inbound} from '@shallotloom/core/ports.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {Exchange} from '../src/exchange.ts';
import {createExchanges, type Exchanges} from '../src/exchanges.ts';
import {createTargetAgents} from '../src/targets/target-agents.ts';
import {createTimer} from '../src/timer.ts';

// Guards against a stored answer that can't be read, and that leaves its caller without any.
test('a request is refused and freed when the handler of an action for it throws', async () => {
	const world: Partial<World> = {};
	const pushed: Inbound[] = [];
	const timer = createTimer();
	const push = (inbound: Inbound) => {
		pushed.push(inbound);
	};

	const exchanges: Exchanges = createExchanges({
		world: world as World,
		timer,
		agents: createTargetAgents(),
		push,
		enqueue: push,
		onRefused() {
			// Refusals aren't counted here.
		},
	});
	const server = createServer((_request, response) => {
		const fields: Partial<Exchange> = {
			requestId: 'r1', kind: TargetKind.Service, response, isFinished: false,
		};
		exchanges.open(fields as Exchange, {id: 'r1'} as Parameters<Exchanges['open']>[1]);
		expect(() => {
			exchanges.handlers.replay({kind: 'replay', request: 'r1', answer: '{'});
		}).toThrow(SyntaxError);
		exchanges.fail('r1');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const answer = await fetch(`http://127.0.0.1:${port}/`);
	expect(answer.status).toBe(500);
	await expect(answer.json()).resolves.toMatchObject({error: {kind: 'internal', outcome: 'unknown'}});
	expect(pushed.map(({kind}) => kind)).toEqual(['callerRequest', 'callerGone']);
	timer.stop();
	server.closeAllConnections();
	server.close();
});
