// Package baseline implements the policy that guavaspring is compared with: a random replica for each shard, without
// hedges, retries or admission control.
package baseline
