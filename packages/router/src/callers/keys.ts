/*
Which workspace a key belongs to. Keys are known by their SHA-256 only, and hashes are compared in constant time.
*/
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {Configuration, Workspace} from '@shallotloom/core/configuration.ts';

/** SHA-256 of a key, in hex. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

/** Key of an `authorization: Bearer KEY` header; undefined when the header is missing or of another form. */
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
	/** Workspace of an authorization header; undefined when there is none. */
	findWorkspace(configuration: Configuration, header: string | undefined): Workspace | undefined;
};

/** Creates the look-up; its index follows the configuration. */
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
