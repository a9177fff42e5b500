/* eslint camelcase: "off" -- The platform's documents have such names. */
/*
Documents of a small deployment as the platform's pages show them: the bounds in the settings, and a configuration with the two services
of brazos-reed.
*/

/** Bounds of the site file. */
export const bounds = {
	seed_lag_s: 3,
	addr_reuse_s: 2,
	contact_ms: 3000,
	ack_ms: 4000,
	catch_up_s: 4,
	drain_ms: 2000,
	grace_s: 8,
	loss_slack_ms: 200,
	config_apply_ms: 2000,
	rollback_slack_ms: 250,
	max_skew_ms: 5000,
	revoke_strict: false,
	revoke_ms: 5000,
	retry_budget_ratio: 0.2,
	budget_window_s: 10,
	retry_budget_extra: 58,
	cold_tolerance: 1.5,
	cold_slack: 5,
	evacuate_ms: 5000,
	recovery_s: 12,
	pass_ms: 120,
	reuse_window_s: 10,
	quota_window_s: 4,
	ttl_max_s: 5,
};

/** Time limit of streams: the time-out of their route is the same. */
export const streamLimitMs = 12_000;

/** Creates a configuration; `lookupTimeoutMs` is the time-out of the route of look-ups. */
export function createConfig({lookupTimeoutMs = 1000} = {}) {
	return {
		version: 7,
		routes: [
			{
				name: 'r-1',
				hostname: 'desk.example',
				path_prefix: '/reply/',
				route_type: 'streaming',
				timeout_ms: streamLimitMs,
				target_latency_ms: 500,
				priority: 1,
				service: 'loom-pool',
				max_attempts: 2,
				auth_exempt: false,
				session_affinity: true,
				stream_resume: true,
				target_gap_ms: 500,
			},
			{
				name: 'r-2',
				hostname: 'desk.example',
				path_prefix: '/stock/',
				route_type: 'idempotent',
				timeout_ms: lookupTimeoutMs,
				target_latency_ms: 121,
				priority: 2,
				service: 'order-desk',
				max_attempts: 2,
				auth_exempt: false,
			},
		],
		services: [
			{
				name: 'loom-pool',
				health_check_path: '/health',
				max_connections: 370,
				protocol: 'h1',
				tls: false,
				cold_start_s: 3,
				cold_per_s: 10,
				engine: {slots: 64, kv_capacity_tokens: 469_724, models: [{name: 'm'}]},
			},
			{
				name: 'order-desk', health_check_path: '/health', max_connections: 110, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0,
			},
		],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tokens_per_s: 175_000,
		},
		tenants: [{name: 'w1', api_keys: ['k1'], priority: 1}],
	};
}

function createRequest(lines, body) {
	return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Creates a request for a stream, with a prompt of three parts. */
export function createStreamRequest(id) {
	return createRequest([
		'POST /reply/x HTTP/1.1',
		'Host: desk.example',
		`X-Request-Id: ${id}`,
		'X-Model-Name: m',
		'X-Token-Counts: 628,350',
		`X-Prefix-Hash: aa:119,bb:79,${id}:430`,
		`X-Deadline-Ms: ${streamLimitMs}`,
		'Authorization: Bearer k1',
		'Content-Length: 2',
	], 'hi');
}

/** Creates a look-up. */
export function createLookupRequest(id, limitMs) {
	return createRequest(['GET /stock/x HTTP/1.1', 'Host: desk.example', `X-Request-Id: ${id}`, `X-Deadline-Ms: ${limitMs}`, 'Authorization: Bearer k1'], '');
}
