import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/**
 * The version of an update: the incarnation of the node that publishes it, or the term under which it was published, and a sequence
 * number within that; compared in that order. On the wire it is this tuple.
 */
export const Version = v.tuple([Count, Count]);
export type Version = v.InferOutput<typeof Version>;
