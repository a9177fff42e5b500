/*
Units of the core: all times are milliseconds of a monotonic clock, all costs are weighted tokens.
*/

/** One second, in milliseconds. */
export const second = 1000;

/** One minute, in milliseconds. */
export const minute = 60 * second;

/** One kibibyte, in bytes. */
export const kibibyte = 1024;

/** One mebibyte, in bytes. */
export const mebibyte = 1024 * kibibyte;
