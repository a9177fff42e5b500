/*
Quarantines in the platform's store. Instances learn of quarantines from digests, which end with the processes; the load that the
store answers is a restart of the whole fleet, for example after a loss of power, while something that crashes targets is still asked for.

One instance, the same for the whole fleet, writes each quarantine when it begins or is extended, and removes it when it ends. Each
process reads them once, when it starts.
*/
import type {QuarantineEntry} from '../messages.ts';
import {startPeriodIfDue} from '../world.ts';
import type {Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';
import {applyReportedQuarantine, createQuarantineEntry, isResponsible} from './quarantines.ts';
import type {Quarantine, StoredQuarantine} from './rows.ts';

/** Period at which the store is brought up to date, in milliseconds. */
const storePeriodMs = 200;

/** Time after which a write without a result is repeated, and one that failed; in milliseconds. */
const writeTimeoutMs = 3000;
const writeRetryMs = 1000;

/** Extension of a quarantine from which it is written again, in milliseconds. */
const minExtensionMs = 600_000;

/** Applies the quarantines that were in the store when this process started. */
export function onStoredQuarantines(gateway: Gateway, {entries}: GatewayInboundOf<'storedQuarantines'>) {
	for (const entry of entries) {
		applyReportedQuarantine(gateway, 'the store', entry);
		gateway.storedQuarantines.set(entry.suspect, createStoredQuarantine(gateway, entry));
	}
}

function createStoredQuarantine({now}: Gateway, {crashes, remainingMs}: QuarantineEntry): StoredQuarantine {
	return {
		crashes, until: now + remainingMs, retryAt: now, isConfirmed: true,
	};
}

export function onQuarantineWritten({storedQuarantines, now}: Gateway, {suspect, isRemoval, isSuccessful}: GatewayInboundOf<'quarantineWritten'>) {
	const stored = storedQuarantines.get(suspect);
	if (!stored) {
		return;
	}

	if (!isSuccessful) {
		stored.retryAt = now + writeRetryMs;
	} else if (isRemoval) {
		storedQuarantines.delete(suspect);
	} else {
		stored.isConfirmed = true;
	}
}

/** Forgets what the store holds, so that it is written again: the store returned with older data. */
export function forgetStoredQuarantines({storedQuarantines}: Gateway) {
	storedQuarantines.clear();
}

/** Whether the store holds a quarantine as it is now. */
function isStored({crashes, until}: Quarantine, stored: StoredQuarantine | undefined): boolean {
	return stored !== undefined && stored.isConfirmed && stored.crashes >= crashes && until - stored.until < minExtensionMs;
}

/** Whether a write is under way, or failed a moment ago. */
function isPending({now}: Gateway, stored: StoredQuarantine | undefined): boolean {
	return stored !== undefined && !stored.isConfirmed && now < stored.retryAt;
}

/** Writes the quarantines that this instance is responsible for, as far as the store doesn't hold them. */
export function storedQuarantinesSystem(gateway: Gateway) {
	const {quarantines, storedQuarantines, outbox, now} = gateway;
	if ((quarantines.size === 0 && storedQuarantines.size === 0) || !startPeriodIfDue(gateway, 'storedQuarantines', storePeriodMs)) {
		return;
	}

	for (const [suspect, quarantine] of quarantines) {
		const stored = storedQuarantines.get(suspect);
		if (!isStored(quarantine, stored) && !isPending(gateway, stored) && isResponsible(gateway, suspect)) {
			const {crashes, until} = quarantine;
			storedQuarantines.set(suspect, {
				crashes, until, retryAt: now + writeTimeoutMs, isConfirmed: false,
			});
			outbox.push({kind: 'storeQuarantine', entry: createQuarantineEntry(gateway, quarantine)});
		}
	}

	for (const [suspect, stored] of storedQuarantines) {
		if (!quarantines.has(suspect) && !isPending(gateway, stored) && isResponsible(gateway, suspect)) {
			Object.assign(stored, {retryAt: now + writeTimeoutMs, isConfirmed: false});
			outbox.push({kind: 'removeQuarantine', suspect});
		}
	}
}
