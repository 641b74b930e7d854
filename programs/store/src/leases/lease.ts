import * as v from 'valibot';
import { Count, NodeName } from '@pewterlanding/model';

/** The right to run one item once: the dispatcher's term, a number unique within it, and the front that holds it. */
export const Lease = v.strictObject({ term: Count, number: Count, front: NodeName });
export type Lease = v.InferOutput<typeof Lease>;
