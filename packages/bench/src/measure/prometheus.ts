/*
Reads single values from metrics in the Prometheus text format.
*/

/** Sums a metric over all series that have every one of `labels` (such as `direction="in"`); NaN when there are none. */
export function sumMetric(text: string, name: string, labels: string[] = []): number {
	const values = text
		.split('\n')
		.filter(line => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
		.filter(line => labels.every(label => line.includes(label)))
		.map(line => Number(line.slice(line.lastIndexOf(' ') + 1)));
	return values.length === 0 ? Number.NaN : values.reduce((sum, value) => sum + value, 0);
}
