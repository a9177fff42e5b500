import type {Workspace} from '@shallotloom/core/configuration.ts';
import {describeChanges} from '../src/describe.ts';

test('a changed key is reported without its hashes', () => {
	const before: Workspace = {
		id: 'ba', weight: 1, keyHash: 'a'.repeat(64), queueLimit: 10,
	};
	const part = (workspace: Workspace) => ({workspaces: [workspace], targets: [], failureDomains: []});
	const text = describeChanges(part(before), part({...before, weight: 2, keyHash: 'b'.repeat(64)}));
	expect(text).toBe('  workspace ba: weight 1 -> 2, key changed');
});
