import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/**
 * A message on a connection after the handshake. `ask`: a request that expects a response; `tell`: one that expects none; `back`: the
 * response; `fail`: an error in its place, as text. `slot` and `gen` match a response to its request (see SlabKey).
 */
export const Frame = v.variant('kind', [
  v.strictObject({ kind: v.literal('ask'), slot: Count, gen: Count, call: v.string(), body: v.unknown() }),
  v.strictObject({ kind: v.literal('tell'), call: v.string(), body: v.unknown() }),
  v.strictObject({ kind: v.literal('back'), slot: Count, gen: Count, body: v.unknown() }),
  v.strictObject({ kind: v.literal('fail'), slot: Count, gen: Count, message: v.string() }),
]);
export type Frame = v.InferOutput<typeof Frame>;
