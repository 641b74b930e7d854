import * as v from 'valibot';
import { Count, ServiceName } from '@pewterlanding/model';

/** A service's usual output, as the counter learned it from settled leases. */
export const Usage = v.strictObject({ service: ServiceName, outputTokens: Count });
export type Usage = v.InferOutput<typeof Usage>;
