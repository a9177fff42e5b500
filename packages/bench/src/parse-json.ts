/*
JSON whose shape is that of the project's own interfaces, read without a check of its fields.
*/

/** Parses JSON text as the shape that its sender promises. Throws on malformed text. */
export function parseJson<Shape>(text: string): Shape {
	// The fields that matter are checked where they are used.

	return JSON.parse(text) as Shape;
}
