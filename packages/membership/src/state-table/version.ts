import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** An incarnation or epoch, and a turn within it; compared in that order. */
export const Version = v.tuple([Count, Count]);
export type Version = v.InferOutput<typeof Version>;
