/*
Suspects: what may crash the targets that begin to answer it. That is a prompt segment, whatever else the request holds, or a request
that comes again with the same content from the same workspace.
*/
import {getSharedSegmentIds} from './prompt-segments.ts';
import type {Call} from './rows.ts';

export enum SuspectKind {
	Segment = 'segment',
	Request = 'request',
}

/** Header fields contain no line breaks, so no prompt segment has this prefix. */
const requestPrefix = 'request\n';

/** Ids of what is suspected when a target crashes under a call. */
export function getSuspects({prompt, workspace, fingerprint}: Pick<Call, 'prompt' | 'workspace' | 'fingerprint'>): string[] {
	const segments = prompt ? getSharedSegmentIds(prompt) : [];
	return [...segments, `${requestPrefix}${workspace}\n${fingerprint}`];
}

export function getSuspectKind(suspect: string): SuspectKind {
	return suspect.startsWith(requestPrefix) ? SuspectKind.Request : SuspectKind.Segment;
}

/** Describes a suspect by fields of a log line. */
export function createSuspectFields(suspect: string): Record<string, string> {
	if (getSuspectKind(suspect) === SuspectKind.Segment) {
		return {segment: suspect};
	}

	const [, workspace = '', fingerprint = ''] = suspect.split('\n');
	return {workspace, fingerprint};
}
