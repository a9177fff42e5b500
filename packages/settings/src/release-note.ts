/*
YAML form of a release note, as operators write it. A workspace key may stand in the file as `key`; it is hashed here,
at the operators' client, so that no key reaches a router, the Object API or the audit trail.
*/
import {createHash} from 'node:crypto';
import {Standing, TargetKind} from '@shallotloom/core/configuration.ts';
import type {ReleaseNote} from '@shallotloom/core/release-note.ts';
import {z} from 'zod';
import {
	baseUrl, count, entityName, sha256Hex,
} from './fields.ts';
import {loadSettings, type SettingsResult} from './load.ts';
import {definitionOf} from './schema-tree.ts';

/** Shorter keys could be found by trying. */
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
	warmBudget: count().describe('Most requests at once when warm.'),
	coldBudget: count().default(1).describe('Most requests at once in cold start.'),
	standing: z.enum(Standing).default(Standing.In).describe('Whether it gets new work.'),
	fences: z.boolean().default(false).describe('Whether it refuses orders that carry an old epoch.'),
};

const failureDomainFields = {
	name: entityName().describe('Name of the failure domain.'),
	standing: z.enum(Standing).default(Standing.In).describe('Whether new work goes to its targets.'),
};

type WorkspaceKey = {key?: string | undefined; keyHash?: string | undefined};

/** Replaces the key of a workspace by its hash. */
function hashed<Entry extends WorkspaceKey>({key, ...entry}: Entry) {
	return {...entry, ...(key !== undefined && {keyHash: sha256(key)})};
}

const addedWorkspace = z.strictObject(workspaceFields)
	.refine(entry => (entry.key === undefined) !== (entry.keyHash === undefined), {path: ['key'], error: 'either key or keyHash'})
	.transform(entry => ({
		id: entry.id,
		weight: entry.weight,
		keyHash: entry.keyHash ?? sha256(entry.key ?? ''),
		queueLimit: entry.queueLimit,
	}));

const changedWorkspace = z.strictObject(withoutDefaults(workspaceFields)).partial().required({id: true})
	.refine(entry => entry.key === undefined || entry.keyHash === undefined, {path: ['key'], error: 'either key or keyHash'})
	.transform(entry => hashed(entry));

const changedTarget = z.strictObject(withoutDefaults(targetFields)).partial().required({id: true});

const names = z.array(entityName()).optional();

const added = z.strictObject({
	workspaces: z.array(addedWorkspace).optional().describe('New workspaces.'),
	targets: z.array(z.strictObject(targetFields)).optional().describe('New targets.'),
	failureDomains: z.array(z.strictObject(failureDomainFields)).optional().describe('New failure domains.'),
});

const changed = z.strictObject({
	workspaces: z.array(changedWorkspace).optional().describe('Workspaces that change.'),
	targets: z.array(changedTarget).optional().describe('Targets that change.'),
	failureDomains: z.array(z.strictObject(withoutDefaults(failureDomainFields))).optional().describe('Failure domains that go out or come in.'),
});

const withdrawn = z.strictObject({
	workspaces: names.describe('Names of workspaces.'),
	targets: names.describe('Names of targets; a withdrawn target gets no new work.'),
	failureDomains: names.describe('Names of failure domains without targets.'),
});

/** Schema of a release note in YAML. */
export const releaseNoteSchema = z.strictObject({
	added: added.optional().describe('Entities that are new.'),
	changed: changed.optional().describe('Names of entities with the fields that get another value.'),
	withdrawn: withdrawn.optional().describe('Names of entities that go.'),
});

/** Reads a release note; the note holds hashes in place of keys. */
export async function loadReleaseNote(file: string): Promise<SettingsResult<ReleaseNote>> {
	return loadSettings(releaseNoteSchema, file);
}

/** SHA-256 in hex, as stored for keys of workspaces and operators. */
export function sha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}

type WithoutDefaults<Fields> = {[Field in keyof Fields]: Fields[Field] extends z.ZodDefault<infer Inner> ? Inner : Fields[Field]};

/** A change must not fill in a default for a field that it doesn't name. */
function withoutDefaults<Fields extends Record<string, z.ZodType>>(fields: Fields): WithoutDefaults<Fields> {
	const entries = Object.entries(fields).map(([name, field]) => [name, field.def.type === 'default' ? innerOf(field) : field] as const);
	// `Object.fromEntries` forgets the names of the fields.

	return Object.fromEntries(entries) as WithoutDefaults<Fields>;
}

function innerOf(field: z.ZodType): z.ZodType {
	const {innerType} = definitionOf(field);
	return innerType === undefined ? field : innerType.describe(field.description ?? '');
}
