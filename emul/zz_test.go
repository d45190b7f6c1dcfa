package emul
import ("testing";"fmt")
func TestZZ(t *testing.T) {
 sum:=0.0
 for _, p := range Patterns() {
  f:=map[string]int{}; pa:=map[string]int{}; n:=map[string]int{}; nd:=map[string]int{}
  all:=0.0; ag:=0; val:=0.0; tot:=0.0
  worth:=map[string][2]float64{"draft":{1.9,.55},"reply":{2.9,.87},"quick":{1.1,.1}}
  for s:=uint64(1); s<=4; s++ {
   o:=Defaults(p,s)
   r,jobs:=runJobs(o,PolicyModel)
   all+=r.All/4; ag+=r.Again/4; val-=0.1*float64(r.Again)
   for _,j:=range jobs { n[j.Class.Name]++; tot+=worth[j.Class.Name][0]; if j.OnTime(){val+=worth[j.Class.Name][0]} else if j.Done {val+=worth[j.Class.Name][1]}; if !j.Done {nd[j.Class.Name]++}; if j.First>j.Class.Target {f[j.Class.Name]++}; if j.Pause>j.Class.Pause {pa[j.Class.Name]++}}
  }
  sum+=val/tot; fmt.Printf("%-36s VALUE %.4f all %.4f again %d", p, val/tot, all, ag)
  for _,c:=range Classes(){k:=c.Name; fmt.Printf("  %s first %.1f%% pause %.1f%%",k,100*float64(f[k])/float64(n[k]),100*float64(pa[k])/float64(n[k]))}
  fmt.Println()
 }
 fmt.Printf("MEAN all %.4f\n", sum/float64(len(Patterns())))
}
