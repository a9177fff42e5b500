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
export function bearerKey(header: string | undefined): string | undefined {
	const match = /^bearer\s+(?<key>\S+)$/iv.exec(header ?? '');
	return match?.groups!.key;
}

/** Whether a key has the given hash, in constant time. */
export function hasHash(key: string, hash: string): boolean {
	const expected = Buffer.from(hash, 'hex');
	const actual = Buffer.from(hashKey(key), 'hex');
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

export type WorkspaceKeys = {
	/** Workspace of an authorization header; undefined when there is none. */
	workspaceOf(configuration: Configuration, header: string | undefined): Workspace | undefined;
};

/** Creates the look-up; its index follows the configuration. */
export function createWorkspaceKeys(): WorkspaceKeys {
	let indexed: Configuration | undefined;
	let byHash = new Map<string, Workspace>();
	return {
		workspaceOf(configuration, header) {
			const key = bearerKey(header);
			if (key === undefined) {
				return undefined;
			}

			if (indexed !== configuration) {
				byHash = new Map([...configuration.workspaces.values()].map(workspace => [workspace.keyHash, workspace]));
				indexed = configuration;
			}

			const workspace = byHash.get(hashKey(key));
			return workspace && hasHash(key, workspace.keyHash) ? workspace : undefined;
		},
	};
}
