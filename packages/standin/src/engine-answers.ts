/*
All answers of one engine: admits requests to the batch, delivers tokens at each tick, and removes answers whose caller has
been disconnected for too long.
*/
import type {ServerResponse} from 'node:http';
import {createAnswerStream, type AnswerFaults, type AnswerStream} from './answer-stream.ts';
import {createBatch, type Batch} from './batch.ts';
import type {EngineSettings} from './engine-settings.ts';
import {RequestEnd, type RequestLog} from './request-log.ts';

export type AnswerRequest = {
	id: string;
	model: string;
	outputTokens: number;
	promptTokens: number;
	prefix: string;
	isStreaming: boolean;
	faults: AnswerFaults;
};

export type EngineAnswers = {
	readonly batch: Batch;
	/** Starts an answer; breaks the connection when the request makes a cold engine crash. */
	admit(request: AnswerRequest, response: ServerResponse): void;
	/** False when the answer is unknown or no longer retained. */
	resume(id: string, offset: number, response: ServerResponse): boolean;
	/** False when the answer is unknown or no longer retained. */
	cancel(id: string): boolean;
	/** Id of any other answer, for crossed answers; made up when there is none. */
	getOtherId(id: string): string;
	tick(): void;
};

export type EngineAnswersOptions = {
	settings: EngineSettings;
	log: RequestLog;
	slowFactor: () => number;
};

/** An answer that can be resumed or cancelled. */
type RetainedAnswer = {key: string; stream: AnswerStream; finishedAt: number | undefined};

/** Creates an engine without answers. */
export function createEngineAnswers({settings, log, slowFactor}: EngineAnswersOptions): EngineAnswers {
	const now = () => performance.now();
	// Indexed by batch key, which is unique even when a request id is sent twice.
	const answers = new Map<string, RetainedAnswer>();
	/** The most recent answer of each request id. */
	const latestById = new Map<string, RetainedAnswer>();
	let admissions = 0;

	const batch = createBatch({
		settings,
		startId: `${settings.id}-${Date.now().toString(36)}`,
		slowFactor,
		onTokens({id, emitted, outputTokens}) {
			const answer = answers.get(id)!;
			answer.stream.generated = emitted;
			if (emitted === outputTokens) {
				finish(answer, RequestEnd.Complete);
			}
		},
		onRestart() {
			for (const answer of answers.values()) {
				answer.stream.disconnect();
				finish(answer, RequestEnd.Cut);
			}

			answers.clear();
			latestById.clear();
		},
	});

	function finish(answer: RetainedAnswer, end: RequestEnd) {
		if (answer.finishedAt === undefined) {
			answer.finishedAt = now();
			log.recordEnd(answer.stream.id, end);
		}
	}

	function remove(answer: RetainedAnswer) {
		batch.cancel(answer.key);
		answers.delete(answer.key);
		if (latestById.get(answer.stream.id) === answer) {
			latestById.delete(answer.stream.id);
		}
	}

	/** Removes an answer without a caller: an unfinished one after `orphanMs`, a finished one after `keepMs`. */
	function removeIfExpired(answer: RetainedAnswer, at: number) {
		const {detachedAt} = answer.stream;
		if (detachedAt === undefined) {
			return;
		}

		if (answer.finishedAt === undefined && at - detachedAt > settings.orphanMs) {
			finish(answer, RequestEnd.Orphaned);
			remove(answer);
		} else if (at - detachedAt > settings.keepMs) {
			remove(answer);
		}
	}

	return {
		batch,
		admit(request, response) {
			const {id, outputTokens, promptTokens, prefix} = request;
			admissions++;
			const key = `${id}#${admissions}`;
			const admission = {
				id, at: Date.now(), running: batch.running + 1, cold: batch.cold,
			};
			const stream = batch.admit({
				id: key, outputTokens, promptTokens, prefix,
			}, now());
			log.recordAdmission(admission);
			if (!stream) {
				log.recordEnd(id, RequestEnd.Cut);
				response.socket?.destroy();
				return;
			}

			const answer = {key, stream: createAnswerStream({...request, now}), finishedAt: undefined};
			answers.set(key, answer);
			latestById.set(id, answer);
			answer.stream.attach(response, 0, now());
		},
		resume(id, offset, response) {
			const answer = latestById.get(id);
			answer?.stream.attach(response, offset, now());
			return answer !== undefined;
		},
		cancel(id) {
			const answer = latestById.get(id);
			if (!answer) {
				return false;
			}

			finish(answer, RequestEnd.Cancelled);
			answer.stream.disconnect();
			remove(answer);
			return true;
		},
		getOtherId(id) {
			for (const other of latestById.keys()) {
				if (other !== id) {
					return other;
				}
			}

			return `other-than-${id}`;
		},
		tick() {
			const at = now();
			batch.tick(at);
			for (const answer of answers.values()) {
				answer.stream.deliver(at);
				removeIfExpired(answer, at);
			}
		},
	};
}
