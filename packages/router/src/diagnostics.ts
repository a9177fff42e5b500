/*
Messages to standard error from before the log exists or about the log itself. A reader that is gone or a full disk must not end the
process, so failures to write them are ignored.
*/
import {writeSync} from 'node:fs';
import process from 'node:process';

/** Writes a message and a line break to standard error. */
export function writeDiagnostic(text: string) {
	try {
		writeSync(process.stderr.fd, `${text}\n`);
	} catch {
		// Nowhere is left to report it.
	}
}

/** Ignores failures of the runtime's own output, such as warnings that it prints. */
export function ignoreOutputErrors() {
	for (const stream of [process.stdout, process.stderr]) {
		stream.on('error', () => {
			// The reader is gone.
		});
	}
}
