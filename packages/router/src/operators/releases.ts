/*
Releases for the operators' API: proposals that wait for the core's answer, and the release history in the Object API.
*/
import {randomBytes} from 'node:crypto';
import type {ReleaseReply} from '@shallotloom/core/operator-api.ts';
import type {InboundOf, OutboundOf, ReleaseAnswer} from '@shallotloom/core/ports.ts';
import {decodeRelease, getReleaseKey} from '@shallotloom/core/release-codec.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {ObjectStore} from '@shallotloom/platform/object-store.ts';

type Proposal = Omit<InboundOf<'releaseProposed'>, 'kind' | 'proposal'>;

export type Proposals = {
	/** Passes a note to the core; resolves with the result. */
	propose(proposed: Proposal): Promise<ReleaseAnswer>;
	onAnswered(item: OutboundOf<'releaseAnswered'>): void;
};

export function createProposals(push: (inbound: InboundOf<'releaseProposed'>) => void): Proposals {
	const pending = new Map<string, (answer: ReleaseAnswer) => void>();
	return {
		async propose(proposed) {
			const proposal = randomBytes(8).toString('hex');
			return new Promise(resolve => {
				pending.set(proposal, resolve);
				push({kind: 'releaseProposed', proposal, ...proposed});
			});
		},
		onAnswered({proposal, answer}) {
			pending.get(proposal)?.(answer);
			pending.delete(proposal);
		},
	};
}

/** Returns up to `limit` releases, newest first. If the Object API is unreachable, returns the releases kept by this router. */
export async function readReleases(world: World, store: ObjectStore, limit: number): Promise<ReleaseReply[]> {
	const from = Math.max(0, world.configuration.revision - limit);
	const {result, objects} = await store.run({kind: 'list', prefix: 'release/', after: getReleaseKey(from)});
	const encodedReleases = result.kind === 'ok'
		? (objects ?? []).map(({value}) => value)
		: [...world.releases.encoded.values()];
	return encodedReleases
		.flatMap(encoded => {
			const decoded = decodeRelease(encoded);
			return decoded.kind === 'ok' ? [decoded.value] : [];
		})
		.toSorted((a, b) => b.revision - a.revision)
		.slice(0, limit)
		.map(({revision, note, audit}) => ({revision, note, audit}));
}
