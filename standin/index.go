package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"guavaspring.org/core/settings"
	"guavaspring.org/standin/internal/rollout"
)

func indexCommand(app *kingpin.Application) command {
	cmd := app.Command("index", "Move the replicas of a running service to a new index version, one after another.")
	move := rollout.Options{}
	base := settings.AddrPort(cmd.Flag("base", "IP:port of the first replica; the ports of the others count up.").Required())
	cmd.Flag("replicas", "Total number of replicas.").Default("30").IntVar(&move.Replicas)
	cmd.Flag("old-version", "Index version that the replicas hold.").Default("1").Int64Var(&move.OldVersion)
	cmd.Flag("old-shards", "Number of shards of the old version.").Default("10").IntVar(&move.OldShards)
	cmd.Flag("index-version", "New index version.").Default("2").Int64Var(&move.Version)
	cmd.Flag("shards", "Number of shards of the new version.").Default("10").IntVar(&move.Shards)
	cmd.Flag("step", "Pause between two replicas.").Default("100ms").DurationVar(&move.Step)
	cmd.Flag("overlap", "How long replicas keep the old version after every replica has the new one.").Default("2s").DurationVar(&move.Overlap)
	return command{cmd.FullCommand(), func() error {
		move.Base = *base
		return rollout.Run(context.Background(), move)
	}}
}
