/*
Orders to a target, with optional fencing by epoch: a target that fences refuses an order whose epoch is lower than the
highest one received; a target that doesn't fence obeys every order.
*/

export type Order = {
	kind: 'load-model' | 'load-adapter' | 'set-role';
	epoch: number;
	/** Model, adapter or role. */
	name?: string;
};

export type OrderResult = {obeyed: boolean; highestEpoch: number};

export type OrderBook = {
	apply(order: Order): OrderResult;
	/** All orders, obeyed or refused, in the sequence in which they arrived. */
	getOrders(): Array<Order & OrderResult>;
};

/** Creates a book without orders. */
export function createOrderBook(fences: boolean): OrderBook {
	const orders: Array<Order & OrderResult> = [];
	let highestEpoch = 0;

	return {
		apply(order) {
			const obeyed = !fences || order.epoch >= highestEpoch;
			highestEpoch = Math.max(highestEpoch, order.epoch);
			const result = {obeyed, highestEpoch};
			orders.push({...order, ...result});
			return result;
		},
		getOrders: () => [...orders],
	};
}
