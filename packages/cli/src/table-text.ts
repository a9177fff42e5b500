/*
Formats tables, durations and ages as text. Colours are used only on a terminal; programs get plain text or JSON.
*/
import {styleText} from 'node:util';

/** Table cell; a colour applies only on a terminal. */
export type Cell = string | number | {text: string; colour: 'green' | 'yellow' | 'red'};

const columnSeparator = '  ';

/** Formats rows in columns under their headings; numbers are aligned right. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly Cell[]>, hasColour: boolean): string {
	const widths = headings.map((heading, column) =>
		Math.max(heading.length, ...rows.map(row => getCellText(row[column] ?? '').length)));
	const head = headings.map((heading, column) => heading.padEnd(widths[column]!));
	const lines = rows.map(row => row.map((cell, column) => formatCell(cell, widths[column]!, hasColour)));
	return [head, ...lines].map(line => line.join(columnSeparator).trimEnd()).join('\n');
}

function getCellText(cell: Cell): string {
	return typeof cell === 'object' ? cell.text : String(cell);
}

function formatCell(cell: Cell, width: number, hasColour: boolean): string {
	const text = typeof cell === 'number' ? getCellText(cell).padStart(width) : getCellText(cell).padEnd(width);
	return typeof cell === 'object' && hasColour ? styleText(cell.colour, text) : text;
}

/** Formats a duration in the largest fitting unit, such as `1.5 s`. */
export function formatDuration(durationMs: number): string {
	const msPerSecond = 1000;
	const msPerMinute = 60 * msPerSecond;
	if (durationMs < msPerSecond) {
		return `${Math.round(durationMs)} ms`;
	}

	return durationMs < msPerMinute ? `${(durationMs / msPerSecond).toFixed(1)} s` : `${(durationMs / msPerMinute).toFixed(1)} min`;
}

/** Formats an age, such as `1.5 s ago`; `never` for null. */
export function formatAge(ageMs: number | null): string {
	return ageMs === null ? 'never' : `${formatDuration(ageMs)} ago`;
}
