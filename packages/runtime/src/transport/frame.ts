import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** One message on a circuit: a task that wants a return, a word that wants none, a return, or a refusal. */
export const Frame = v.variant('kind', [
  v.strictObject({ kind: v.literal('ask'), slot: Count, gen: Count, call: v.string(), body: v.unknown() }),
  v.strictObject({ kind: v.literal('tell'), call: v.string(), body: v.unknown() }),
  v.strictObject({ kind: v.literal('back'), slot: Count, gen: Count, body: v.unknown() }),
  v.strictObject({ kind: v.literal('fail'), slot: Count, gen: Count, message: v.string() }),
]);
export type Frame = v.InferOutput<typeof Frame>;
