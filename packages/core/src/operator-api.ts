/*
Request and response bodies of a router's operator API; docs/OPERATORS-API.md describes the
endpoints. Times are durations in milliseconds unless a field says otherwise.
*/
import type {Standing, TargetKind} from './configuration.ts';
import type {NoteProblem, ReleaseNote} from './release-note.ts';
import type {AuditAction, AuditEntry} from './release.ts';

export enum RouterState {
	Active = 'active',
	/** In a planned stop. */
	Leaving = 'leaving',
}

/** Phase of a target's budget, by name. */
export enum PhaseName {
	Cold = 'cold',
	Ramping = 'ramping',
	Warm = 'warm',
	SetAside = 'set-aside',
}

export type StatusReply = {
	/** Id of the router that answers. */
	router: string;
	failureDomain: string;
	/** Revision in force at this router. */
	revision: number;
	state: RouterState;
	leaseAgeMs: number;
	/** On how many routers the revision is in force, as known to this router. */
	inForce: {revision: number; members: number; of: number};
};

export type MemberReply = {
	id: string;
	failureDomain: string;
	state: RouterState;
	revision: number;
	/** Time since its last known heartbeat; 0 for the router that answers, null when there was none. */
	heardAgeMs: number | null;
	callerUrl: string;
	/** Number of targets that it owns. */
	targets: number;
};

/** A failure domain and its contents. */
export type DomainReply = {
	name: string;
	standing: Standing;
	/** Number of routers known to the router that answers. */
	routers: number;
	targets: number;
	/** Number of targets with a known owner. */
	owned: number;
};

export type TargetReply = {
	id: string;
	kind: TargetKind;
	failureDomain: string;
	pools: string[];
	standing: Standing;
	/** Standing of its failure domain: it gets new work only while both are in. */
	failureDomainStanding: Standing;
	/** Id of the owning router; '' when none is known. */
	owner: string;
	epoch: number;
	/** Only the owner knows the phase. */
	phase?: PhaseName;
	/** Current maximum of concurrent requests; only the owner knows it. */
	budget?: number;
	/** Only the owner knows it. */
	running?: number;
};

export type WorkspaceReply = {
	id: string;
	weight: number;
	/** Waiting requests. */
	waiting: number;
	running: number;
	/** Weighted tokens charged so far. */
	service: number;
	/** Share of the total capacity due to its weight, from 0 to 1. */
	share: number;
	/** Virtual time of the fair queue, over all pools. */
	virtualTime: number;
	/** Weighted tokens by which its service is above its share; negative when it is behind. */
	gapToShare: number;
};

export type ReleaseReply = {
	revision: number;
	note: ReleaseNote;
	audit: AuditEntry;
};

export type CheckRequest = {note: ReleaseNote};

export type CheckReply = {
	/** Revision that the note was checked against. */
	revision: number;
	problems: NoteProblem[];
};

export type ApplyRequest = {
	note: ReleaseNote;
	reason: string;
	/** For the audit trail; `release apply` when absent or unknown. */
	action?: AuditAction;
	/** Reject the note when another revision is in force. */
	ifRevision?: number;
};

export type ApplyReply = {revision: number};

/** Body of an error reply; `hint` says how the operator can resolve it. */
export type ErrorReply = {
	error:
		| {kind: 'superseded'; message: string; hint: string; revision: number; audit?: AuditEntry}
		| {kind: 'invalid'; message: string; hint: string; problems: NoteProblem[]}
		| {kind: 'unauthorized' | 'not-found' | 'malformed' | 'unavailable' | 'unknown-outcome'; message: string; hint: string};
};
