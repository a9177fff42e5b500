/*
All answers of one engine: admits requests to the batch, delivers tokens each tick, and ends what nobody waits for.
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
	streams: boolean;
	faults: AnswerFaults;
};

export type EngineAnswers = {
	readonly batch: Batch;
	/** Breaks the connection when the engine falls over because of the request. */
	admit(request: AnswerRequest, response: ServerResponse): void;
	/** False when the answer is not kept. */
	resume(id: string, offset: number, response: ServerResponse): boolean;
	/** False when the answer is not kept. */
	cancel(id: string): boolean;
	/** Id of any answer but this one, for crossed answers. */
	otherId(id: string): string;
	tick(): void;
};

export type EngineAnswersOptions = {
	settings: EngineSettings;
	log: RequestLog;
	slowFactor: () => number;
};

type KeptAnswer = {key: string; stream: AnswerStream; finishedAt: number | undefined};

/** Creates an engine without answers. */
export function createEngineAnswers({settings, log, slowFactor}: EngineAnswersOptions): EngineAnswers {
	const now = () => performance.now();
	// By key of the batch, which differs when an id comes twice; `latest` finds the newest of an id.
	const answers = new Map<string, KeptAnswer>();
	const latest = new Map<string, KeptAnswer>();
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
				answer.stream.cut();
				finish(answer, RequestEnd.Cut);
			}

			answers.clear();
			latest.clear();
		},
	});

	function finish(answer: KeptAnswer, end: RequestEnd) {
		if (answer.finishedAt === undefined) {
			answer.finishedAt = now();
			log.ended(answer.stream.id, end);
		}
	}

	function remove(answer: KeptAnswer) {
		batch.cancel(answer.key);
		answers.delete(answer.key);
		if (latest.get(answer.stream.id) === answer) {
			latest.delete(answer.stream.id);
		}
	}

	function sweep(answer: KeptAnswer, at: number) {
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
			log.admitted(admission);
			if (!stream) {
				log.ended(id, RequestEnd.Cut);
				response.socket?.destroy();
				return;
			}

			const answer = {key, stream: createAnswerStream({...request, now}), finishedAt: undefined};
			answers.set(key, answer);
			latest.set(id, answer);
			answer.stream.attach(response, 0, now());
		},
		resume(id, offset, response) {
			const answer = latest.get(id);
			answer?.stream.attach(response, offset, now());
			return answer !== undefined;
		},
		cancel(id) {
			const answer = latest.get(id);
			if (!answer) {
				return false;
			}

			finish(answer, RequestEnd.Cancelled);
			answer.stream.cut();
			remove(answer);
			return true;
		},
		otherId(id) {
			for (const other of latest.keys()) {
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
				sweep(answer, at);
			}
		},
	};
}
