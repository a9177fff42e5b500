/*
Orders to a target, with fencing by epoch: a target that fences refuses an order whose epoch is lower than the highest
seen; another obeys whatever comes.
*/

export type Order = {
	kind: 'load-model' | 'load-adapter' | 'set-role';
	epoch: number;
	/** Model, adapter or role. */
	name?: string;
};

export type OrderResult = {obeyed: boolean; highestEpoch: number};

export type OrderBook = {
	take(order: Order): OrderResult;
	/** All orders in the order in which they came. */
	taken(): Array<Order & OrderResult>;
};

/** Creates a book without orders. */
export function createOrderBook(fences: boolean): OrderBook {
	const taken: Array<Order & OrderResult> = [];
	let highestEpoch = 0;

	return {
		take(order) {
			const obeyed = !fences || order.epoch >= highestEpoch;
			highestEpoch = Math.max(highestEpoch, order.epoch);
			const result = {obeyed, highestEpoch};
			taken.push({...order, ...result});
			return result;
		},
		taken: () => [...taken],
	};
}
