package core

import (
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/verdict"
)

// The registered names are part of the protocol and of stored data; they stay when a Go type is
// renamed.

func init() {
	message.Register(map[string]any{
		"core.AskSamples":         ReadSamples{},
		"core.Samples":            Samples{},
		"core.JoinMember":         JoinMember{},
		"core.RenewMember":        RenewMember{},
		"core.LeaveMember":        LeaveMember{},
		"core.Termed":             MembershipResult{},
		"core.OpenUser":           OpenUser{},
		"core.ChargeUser":         ChargeUser{},
		"core.UserDay":            ChargeUserResult{},
		"core.OpenProgram":        OpenProgram{},
		"core.ClaimProgram":       ClaimProgram{},
		"core.SaveProgram":        SaveProgram{},
		"core.HandProgram":        HandOverProgram{},
		"core.Programmed":         ProgramResult{},
		"core.ShareTenant":        DrawAllowance{},
		"core.ShareRates":         DrawAllowances{},
		"core.SharedRates":        DrawResults{},
		"core.DrawBreaker":        DrawBreaker{},
		"core.Shared":             DrawResult{},
		"core.AdmitTest":          AdmitProbe{},
		"core.ResultTest":         ReportProbe{},
		"core.Tested":             ProbeResult{},
		"core.ClaimOnce":          ClaimOnce{},
		"core.EndOnce":            EndOnce{},
		"core.Once":               OnceRecord{},
		"core.ReadEntries":        ReadEntries{},
		"core.Entries":            Entries{},
		"core.ReadLocked":         ReadLockedUsers{},
		"core.LockedUsers":        LockedUsers{},
		"core.AgreeConfiguration": AcceptConfiguration{},
		"core.Agreed":             AcceptConfigurationResult{},
		"core.SetFloor":           SetVersionFloor{},
		"core.Floored":            VersionFloorResult{},
		"core.Done":               Done{},
		"core.PartMessage":        ReplicaMessage{},
		"core.Command":            Command{},
		"core.CommandReturn":      CommandResult{},
		"core.Pull":               PullUpdates{},
		"core.News":               Update{},
		"core.Fresh":              Freshness{},
		"core.Topology":           Topology{},
		"core.TopologyChanges":    TopologyChanges{},
	})
}

func init() {
	message.Register(map[string]any{
		"core.ReserveTurn":   ReserveTurn{},
		"core.TurnReserved":  ReserveTurnResult{},
		"core.SettleTurn":    SettleTurn{},
		"core.KeepTurn":      StoreTurn{},
		"core.ClaimTurnRoom": ClaimTurnRoom{},
		"core.TurnRoom":      TurnRoom{},
		"core.ReadTurn":      ReadTurn{},
		"core.KeptTurn":      ReadTurnResult{},
		"core.ProlongTurn":   ExtendTurn{},
		"core.DrawRates":     DrawRates{},
		"core.RatesDrawn":    DrawRatesResult{},
		"core.AgreeTable":    AcceptTable{},
		"core.TableAgreed":   AcceptTableResult{},
		"core.FindOrder":     FindOrder{},
		"core.ReadTable":     ReadTable{},
		"core.AgreedTable":   CurrentTable{},
		"core.ClaimKey":      ClaimKey{},
		"core.EndKey":        EndKey{},
		"core.KeyResult":     KeyResult{},
		"core.ReadShares":    ReadShares{},
		"core.RateShares":    Shares{},
		"core.CountKeys":     CountKeys{},
		"core.KeyCounts":     KeyCounts{},
		"core.ReadKey":       ReadKey{},
		"core.KeyRecord":     KeyRecord{},
	})
}

func init() {
	message.Register(map[string]any{
		"core.PutCore":    PutCore{},
		"core.ChangeSeat": ChangeGroup{},
		"core.Present":    AnnounceCore{},
		"core.FoundFleet": FoundFleet{},
		"core.RetireCore": RetireCore{},
		"core.Retiring":   RetireCoreResult{},
		"core.ReadSeats":  ReadGroup{},
		"core.Seats":      GroupMembers{},
		"core.CoreEnded":  PutCoreRejected{},
	})
}

func init() {
	message.Register(map[string]any{
		"verdict.Verdict":  verdict.Verdict{},
		"part.Stand":       partition.Prepare{},
		"part.Promise":     partition.Promise{},
		"part.Refuse":      partition.Reject{},
		"part.Write":       partition.Write{},
		"part.Taken":       partition.WriteAck{},
		"part.Renew":       partition.RenewLease{},
		"part.Renewed":     partition.LeaseAck{},
		"part.Handover":    partition.TransferLeadership{},
		"part.TermDurable": partition.TermDurable{},
	})
}
