/*
Finds the workspace of a key. Only SHA-256 hashes of keys are stored, and they are compared in constant time.
*/
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {Configuration, Workspace} from '@shallotloom/core/configuration.ts';

/** SHA-256 of a key, in hex. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Parses an `authorization: Bearer KEY` header; undefined when it is missing or has another form. */
export function parseBearerKey(header: string | undefined): string | undefined {
	const match = /^bearer\s+(?<key>\S+)$/iv.exec(header ?? '');
	return match?.groups!.key;
}

/** Whether a key has the given hash, in constant time. */
export function matchesKeyHash(key: string, hash: string): boolean {
	const expected = Buffer.from(hash, 'hex');
	const actual = Buffer.from(hashKey(key), 'hex');
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

export type WorkspaceKeys = {
	/** Workspace whose key is in an authorization header; undefined when no workspace has the key. */
	findWorkspace(configuration: Configuration, header: string | undefined): Workspace | undefined;
};

/** Creates the look-up; its index is rebuilt when the configuration changes. */
export function createWorkspaceKeys(): WorkspaceKeys {
	let indexedConfiguration: Configuration | undefined;
	let workspacesByHash = new Map<string, Workspace>();
	return {
		findWorkspace(configuration, header) {
			const key = parseBearerKey(header);
			if (key === undefined) {
				return undefined;
			}

			if (indexedConfiguration !== configuration) {
				workspacesByHash = new Map([...configuration.workspaces.values()].map(workspace => [workspace.keyHash, workspace]));
				indexedConfiguration = configuration;
			}

			const workspace = workspacesByHash.get(hashKey(key));
			return workspace && matchesKeyHash(key, workspace.keyHash) ? workspace : undefined;
		},
	};
}
