import * as v from 'valibot';
import { ItemId } from '@pewterlanding/model';

/** The outcome of an opaque item; its position among the outcomes never changes. */
export const ItemOutcome = v.strictObject({ id: ItemId, state: v.picklist(['settled', 'abandoned']), text: v.string() });
export type ItemOutcome = v.InferOutput<typeof ItemOutcome>;
