/*
TCP proxy before the store. Its channels can be silenced: they stay open and carry nothing any more, while new ones work.
*/
import {connect, createServer} from 'node:net';

/** Starts a proxy to an address. */
export async function startProxy(target) {
	const [host, port] = target.split(':');
	const pairs = new Set();
	const server = createServer(socket => {
		const upstream = connect({host, port: Number(port), noDelay: true});
		const pair = {socket, upstream, isSilent: false};
		pairs.add(pair);
		const forward = (from, to) => {
			from.on('data', bytes => {
				if (!pair.isSilent) {
					to.write(bytes);
				}
			});
			from.on('error', () => {
				from.destroy();
			});
			from.on('close', () => {
				pairs.delete(pair);
				if (!pair.isSilent) {
					to.destroy();
				}
			});
		};

		forward(socket, upstream);
		forward(upstream, socket);
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Silences the channels that are open now. */
		silence() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		async stop() {
			for (const {socket, upstream} of pairs) {
				socket.destroy();
				upstream.destroy();
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
