/*
Refuses requests whose body hasn't been read, and closes their connections. A connection that is closed beside unread bytes is reset, and a
reset may discard the refusal before the caller has read it. So the refusal is written at once, and what still arrives is read and
discarded for a while before the connection is closed.
*/
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal} from '@shallotloom/core/refusal.ts';
import type {Timer} from '../timer.ts';
import {writeUnendedRefusal} from './call-exchange.ts';

export type LingeringCloses = {
	/** Writes a refusal; the connection is closed once the request has ended, or after a bounded time. */
	refuse(request: IncomingMessage, response: ServerResponse, refusal: Refusal): void;
};

/** Longest time for which a connection lingers, in milliseconds: shorter than a planned stop. */
const maxLingerMs = 5000;

/** Time without a byte after which it lingers no more, in milliseconds. */
const idleLingerMs = 2000;

/** Interval of the check for these times, in milliseconds. */
const lingerCheckMs = 250;

type Lingering = {since: number; lastByteAt: number};

export function createLingeringCloses(timer: Timer): LingeringCloses {
	const lingering = new Map<ServerResponse, Lingering>();

	function close(response: ServerResponse) {
		if (lingering.delete(response)) {
			// The end of a response with `Connection: close` closes the connection.
			response.end();
		}
	}

	timer.subscribe(lingerCheckMs, now => {
		for (const [response, {since, lastByteAt}] of lingering) {
			if (now - since > maxLingerMs || now - lastByteAt > idleLingerMs) {
				close(response);
			}
		}
	});
	return {
		refuse(request, response, refusal) {
			const state = {since: timer.now(), lastByteAt: timer.now()};
			response.setHeader('connection', 'close');
			response.removeHeader('keep-alive');
			writeUnendedRefusal(response, refusal);
			lingering.set(response, state);
			request.on('data', () => {
				state.lastByteAt = timer.now();
			});
			request.once('end', () => {
				close(response);
			});
			response.once('close', () => {
				lingering.delete(response);
			});
		},
	};
}
