/*
Ends a deployment on Ctrl-C or SIGTERM, also while it is still in use.
*/
import process from 'node:process';

/** Exit code of a command that a signal ended. */
export const interruptedCode = 130;

export type Interrupt = {
	/** Settles at the first SIGINT or SIGTERM. */
	received: Promise<void>;
	/** Stops listening for signals. */
	release: () => void;
};

export function onInterrupt(): Interrupt {
	let resolve!: () => void;
	const received = new Promise<void>(settle => {
		resolve = settle;
	});
	const onSignal = () => {
		resolve();
	};

	process.on('SIGINT', onSignal);
	process.on('SIGTERM', onSignal);
	return {
		received,
		release() {
			process.off('SIGINT', onSignal);
			process.off('SIGTERM', onSignal);
		},
	};
}
