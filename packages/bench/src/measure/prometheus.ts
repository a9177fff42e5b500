/*
Reads single figures from metrics in the text format of Prometheus.
*/

/** Sum of a metric over all its label sets that hold every one of `labels`; NaN when there is none. */
export function metricSum(text: string, name: string, labels: string[] = []): number {
	const values = text
		.split('\n')
		.filter(line => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
		.filter(line => labels.every(label => line.includes(label)))
		.map(line => Number(line.slice(line.lastIndexOf(' ') + 1)));
	return values.length === 0 ? Number.NaN : values.reduce((sum, value) => sum + value, 0);
}
