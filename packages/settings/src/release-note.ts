/*
Schema of the YAML release notes that operators write. A note may contain a workspace key as `key`; it is hashed here, in
the operators' client, so that no key reaches a router, the Object API or the audit trail.
*/
import {createHash} from 'node:crypto';
import {Standing, TargetKind} from '@shallotloom/core/configuration.ts';
import type {ReleaseNote} from '@shallotloom/core/release-note.ts';
import {z} from 'zod';
import {
	baseUrl, positiveInteger, entityName, sha256Hex,
} from './fields.ts';
import {loadSettings, type SettingsResult} from './load.ts';
import {getDefinition} from './schema-tree.ts';

/** Characters; shorter keys could be found by brute force. */
const minKeyLength = 16;

const defaultQueueLimit = 2_000_000;

const workspaceFields = {
	id: entityName().describe('Name of the workspace.'),
	weight: z.number().positive().default(1).describe('Relative share of capacity.'),
	key: z.string().min(minKeyLength).optional().describe('Key of the workspace; only its hash leaves the operators\' client.'),
	keyHash: sha256Hex().optional().describe('SHA-256 of the key in hex, in place of `key`.'),
	queueLimit: z.number().positive().default(defaultQueueLimit).describe('Most cost that may wait at one router, in weighted tokens.'),
};

const targetFields = {
	id: entityName().describe('Name of the target.'),
	url: baseUrl().describe('Base URL by IP number.'),
	kind: z.enum(TargetKind).describe('Model engine or application service.'),
	failureDomain: entityName().describe('Failure domain that the target stands in.'),
	pools: z.array(z.string().min(1)).min(1).describe('Names of the models or services that it serves.'),
	warmBudget: positiveInteger().describe('Most requests at once when warm.'),
	coldBudget: positiveInteger().default(1).describe('Most requests at once in cold start.'),
	standing: z.enum(Standing).default(Standing.In).describe('Whether it gets new work.'),
	fences: z.boolean().default(false).describe('Whether it refuses orders that carry an old epoch.'),
};

const failureDomainFields = {
	name: entityName().describe('Name of the failure domain.'),
	standing: z.enum(Standing).default(Standing.In).describe('Whether new work goes to its targets.'),
};

type WorkspaceKey = {key?: string | undefined; keyHash?: string | undefined};

/** Replaces the key of a workspace with its hash. */
function hashKey<Entry extends WorkspaceKey>({key, ...entry}: Entry) {
	return {...entry, ...(key !== undefined && {keyHash: computeSha256(key)})};
}

const addedWorkspace = z.strictObject(workspaceFields)
	.refine(entry => (entry.key === undefined) !== (entry.keyHash === undefined), {path: ['key'], error: 'either key or keyHash'})
	.transform(entry => ({
		id: entry.id,
		weight: entry.weight,
		keyHash: entry.keyHash ?? computeSha256(entry.key ?? ''),
		queueLimit: entry.queueLimit,
	}));

const changedWorkspace = z.strictObject(removeDefaults(workspaceFields)).partial().required({id: true})
	.refine(entry => entry.key === undefined || entry.keyHash === undefined, {path: ['key'], error: 'either key or keyHash'})
	.transform(entry => hashKey(entry));

const changedTarget = z.strictObject(removeDefaults(targetFields)).partial().required({id: true});

const entityNames = z.array(entityName()).optional();

const added = z.strictObject({
	workspaces: z.array(addedWorkspace).optional().describe('New workspaces.'),
	targets: z.array(z.strictObject(targetFields)).optional().describe('New targets.'),
	failureDomains: z.array(z.strictObject(failureDomainFields)).optional().describe('New failure domains.'),
});

const changed = z.strictObject({
	workspaces: z.array(changedWorkspace).optional().describe('Workspaces that change.'),
	targets: z.array(changedTarget).optional().describe('Targets that change.'),
	failureDomains: z.array(z.strictObject(removeDefaults(failureDomainFields))).optional().describe('Failure domains that go out or come in.'),
});

const withdrawn = z.strictObject({
	workspaces: entityNames.describe('Names of workspaces.'),
	targets: entityNames.describe('Names of targets; a withdrawn target gets no new work.'),
	failureDomains: entityNames.describe('Names of failure domains without targets.'),
});

/** Schema of a YAML release note. */
export const releaseNoteSchema = z.strictObject({
	added: added.optional().describe('Entities that are new.'),
	changed: changed.optional().describe('Names of entities with the fields that get another value.'),
	withdrawn: withdrawn.optional().describe('Names of entities that go.'),
});

/** Loads a release note from a file; the result contains key hashes in place of keys. */
export async function loadReleaseNote(file: string): Promise<SettingsResult<ReleaseNote>> {
	return loadSettings(releaseNoteSchema, file);
}

/** Computes a SHA-256 hash in lower-case hex, the stored form of the keys of workspaces and operators. */
export function computeSha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

type WithoutDefaults<Fields> = {[Field in keyof Fields]: Fields[Field] extends z.ZodDefault<infer Inner> ? Inner : Fields[Field]};

/** Removes the defaults of fields, since a change must not reset a field that it doesn't contain to its default. */
function removeDefaults<Fields extends Record<string, z.ZodType>>(fields: Fields): WithoutDefaults<Fields> {
	const entries = Object.entries(fields).map(([name, field]) => [name, field.def.type === 'default' ? getInnerType(field) : field] as const);
	// The return type of `Object.fromEntries` doesn't keep the names of the fields.

	return Object.fromEntries(entries) as WithoutDefaults<Fields>;
}

function getInnerType(field: z.ZodType): z.ZodType {
	const {innerType} = getDefinition(field);
	return innerType === undefined ? field : innerType.describe(field.description ?? '');
}
