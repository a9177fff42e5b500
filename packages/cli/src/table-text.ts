/*
Tables and colours for the terminal. Colour is only for a terminal; programs get plain text or JSON.
*/
import {styleText} from 'node:util';

/** A cell, with a colour for terminals. */
export type Cell = string | number | {text: string; colour: 'green' | 'yellow' | 'red'};

const gap = '  ';

/** Aligns rows under their headings; numbers to the right. */
export function tableText(headings: readonly string[], rows: ReadonlyArray<readonly Cell[]>, colour: boolean): string {
	const widths = headings.map((heading, column) =>
		Math.max(heading.length, ...rows.map(row => plain(row[column] ?? '').length)));
	const head = headings.map((heading, column) => heading.padEnd(widths[column]!));
	const lines = rows.map(row => row.map((cell, column) => painted(cell, widths[column]!, colour)));
	return [head, ...lines].map(line => line.join(gap).trimEnd()).join('\n');
}

function plain(cell: Cell): string {
	return typeof cell === 'object' ? cell.text : String(cell);
}

function painted(cell: Cell, width: number, colour: boolean): string {
	const text = typeof cell === 'number' ? plain(cell).padStart(width) : plain(cell).padEnd(width);
	return typeof cell === 'object' && colour ? styleText(cell.colour, text) : text;
}

/** A duration in the largest fitting unit, for example `1.5 s`. */
export function durationText(durationMs: number): string {
	const second = 1000;
	const minute = 60 * second;
	if (durationMs < second) {
		return `${Math.round(durationMs)} ms`;
	}

	return durationMs < minute ? `${(durationMs / second).toFixed(1)} s` : `${(durationMs / minute).toFixed(1)} min`;
}

/** How long ago something was, for example `1.5 s ago`; `never` for null. */
export function ageText(ageMs: number | null): string {
	return ageMs === null ? 'never' : `${durationText(ageMs)} ago`;
}
