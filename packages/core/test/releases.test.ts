import {Standing} from '../src/configuration.ts';
import type {ReleaseAnswer} from '../src/ports.ts';
import type {ReleaseNote} from '../src/release-note.ts';
import {createFleet, type Fleet} from './support/fleet.ts';

const routers = {a: 'x', b: 'y', c: 'z'};
const targets = {t1: 'x', t2: 'y'};

function out(name: string): ReleaseNote {
	return {changed: {failureDomains: [{name, standing: Standing.Out}]}};
}

function propose(fleet: Fleet, to: string, note: unknown, ifRevision?: number) {
	fleet.give(to, {
		kind: 'releaseProposed', proposal: `${to}-${fleet.now}`, note, operator: 'op', reason: 'drill', at: '2026-01-01T00:00:00Z', ...(ifRevision !== undefined && {ifRevision}),
	});
}

function answers(fleet: Fleet): Array<ReleaseAnswer & {from: string}> {
	return fleet.outbox.flatMap(({from, item}) => item.kind === 'releaseAnswered' ? [{from, ...item.answer}] : []);
}

function revisions(fleet: Fleet): number[] {
	return [...fleet.worlds.values()].map(world => world.configuration.revision);
}

test('an accepted release is in force everywhere, also at a router that starts later', () => {
	const fleet = createFleet({routers, targets});
	fleet.run(1000);
	propose(fleet, 'a', out('x'), 1);
	fleet.run(500);
	expect(answers(fleet)).toEqual([{from: 'a', kind: 'accepted', revision: 2}]);
	expect(revisions(fleet)).toEqual([2, 2, 2]);
	fleet.kill('b');
	fleet.start('b');
	fleet.run(500);
	expect(fleet.worlds.get('b')!.configuration.failureDomains.get('x')!.standing).toBe(Standing.Out);
});
